/** Fails if a file of src/<folder> or platform imports from a folder of src that the DEPS.list there does not allow. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

const root = 'src';
const problems = [];

function allowedFolders(directory) {
  const list = path.join(directory, 'DEPS.list');
  if (!existsSync(list)) {
    problems.push(`${list} is missing`);
    return new Set();
  }
  const lines = readFileSync(list, 'utf8').split('\n');
  return new Set(lines.map((line) => line.trim()).filter((line) => line && !line.startsWith('#')));
}

function checkFile(directory, file, allowed) {
  const text = readFileSync(file, 'utf8');
  for (const match of text.matchAll(/from '(\.[^']+)'/g)) {
    const target = path.relative(root, path.resolve(path.dirname(file), match[1]));
    const inside = !path.relative(directory, path.join(root, target)).startsWith('..');
    if (!inside && !allowed.has(target.split(path.sep)[0])) {
      problems.push(`${file} imports ${target}, which ${directory}/DEPS.list does not allow`);
    }
  }
}

function checkDirectory(directory) {
  const allowed = allowedFolders(directory);
  for (const file of readdirSync(directory, { recursive: true })) {
    if (file.endsWith('.ts')) checkFile(directory, path.join(directory, file), allowed);
  }
}

for (const entry of readdirSync(root, { withFileTypes: true })) {
  if (entry.isDirectory()) checkDirectory(path.join(root, entry.name));
}
checkDirectory('platform');
if (problems.length > 0) {
  console.error(problems.join('\n'));
  process.exit(1);
}
console.log('import lists: ok');
