/** Fails when a file of src/<folder> imports from a folder that src/<folder>/DEPS.list does not name. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

const root = 'src';
const problems = [];

function allowedFolders(folder) {
  const list = path.join(root, folder, 'DEPS.list');
  if (!existsSync(list)) {
    problems.push(`${list} is missing`);
    return new Set();
  }
  const lines = readFileSync(list, 'utf8').split('\n');
  return new Set(lines.map((line) => line.trim()).filter((line) => line && !line.startsWith('#')));
}

function checkFile(folder, file, allowed) {
  const text = readFileSync(file, 'utf8');
  for (const match of text.matchAll(/from '(\.[^']+)'/g)) {
    const target = path.relative(root, path.resolve(path.dirname(file), match[1]));
    const targetFolder = target.split(path.sep)[0];
    if (targetFolder !== folder && !allowed.has(targetFolder)) {
      problems.push(`${file} imports ${target}, which ${folder}/DEPS.list does not allow`);
    }
  }
}

for (const entry of readdirSync(root, { withFileTypes: true })) {
  if (!entry.isDirectory()) continue;
  const allowed = allowedFolders(entry.name);
  for (const file of readdirSync(path.join(root, entry.name), { recursive: true })) {
    if (file.endsWith('.ts')) checkFile(entry.name, path.join(root, entry.name, file), allowed);
  }
}
if (problems.length > 0) {
  console.error(problems.join('\n'));
  process.exit(1);
}
console.log('import lists: ok');
