/** Writes docs/SETTINGS.md from the schemas: `npm run build && node scripts/writeSettings.mjs`. */
import { writeFileSync } from 'node:fs';
import { settingsPage } from '../dist/src/cli/settingsPage.js';

writeFileSync('docs/SETTINGS.md', settingsPage());
