/** docs/SETTINGS.md is generated from the schemas and must be up to date. */
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { settingsPage } from '../src/cli/settingsPage.js';

test('should equal the page that is generated from the schemas', () => {
  expect(readFileSync('docs/SETTINGS.md', 'utf8')).toEqual(settingsPage());
});
