/** The page of settings is made from the schemas. */
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { settingsPage } from '../src/cli/settingsPage.js';

test('should list every setting as the schemas have them', () => {
  expect(readFileSync('docs/SETTINGS.md', 'utf8')).toEqual(settingsPage());
});
