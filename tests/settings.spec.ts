/** Settings: flags take precedence over environment variables, and errors name the invalid setting. */
import { test } from 'node:test';
import { expect } from 'earl';
import { agentSettingsSchema } from '../src/settings/agentSettings.js';
import { parseSettings, problemLines } from '../src/settings/settingsParser.js';

const GOOD = {
  box: 'box-1',
  dataCentre: 'zagreb',
  sharedKey: 'a-key-of-sixteen-or-more',
  backendUrl: 'http://127.0.0.1:1',
  originUrl: 'http://127.0.0.1:2',
};

test('should use defaults for settings that are not given', () => {
  const settings = parseSettings(agentSettingsSchema, GOOD, {})._unsafeUnwrap();
  expect(settings.backendKind).toEqual('model');
  expect(settings.httpPort).toEqual(0);
});

test('should prefer a flag over an environment variable', () => {
  const environment = { LARKLATCH_DATA_CENTRE: 'split', LARKLATCH_BACKEND_SLOTS: '3' };
  const settings = parseSettings(agentSettingsSchema, GOOD, environment)._unsafeUnwrap();
  expect(settings.dataCentre).toEqual('zagreb');
  expect(settings.backendSlots).toEqual(3);
});

const WRONG: { name: string; value: unknown; line: string }[] = [
  { name: 'box', value: 'Box 1', line: '--box (or LARKLATCH_BOX): got "Box 1"' },
  { name: 'httpPort', value: '70000', line: '--http-port (or LARKLATCH_HTTP_PORT): got "70000"' },
  { name: 'sharedKey', value: 'short', line: '--shared-key (or LARKLATCH_SHARED_KEY): got' },
  { name: 'backendKind', value: 'gpu', line: '--backend-kind (or LARKLATCH_BACKEND_KIND): got "gpu"' },
  {
    name: 'stallMilliseconds',
    value: 'soon',
    line: '--stall-milliseconds (or LARKLATCH_STALL_MILLISECONDS): got "soon"',
  },
  { name: 'address', value: 'localhost', line: '--address (or LARKLATCH_ADDRESS): got "localhost"' },
];

for (const { name, value, line } of WRONG) {
  test(`should name an invalid ${name}`, () => {
    const problems = parseSettings(agentSettingsSchema, { ...GOOD, [name]: value }, {})._unsafeUnwrapErr();
    const lines = problemLines(problems);
    expect(lines.length).toEqual(1);
    expect(lines[0].startsWith(line)).toEqual(true);
    expect(lines[0].includes('allowed: ')).toEqual(true);
  });
}
