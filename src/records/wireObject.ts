/** Objects of the store as entries pass them on to each other. */
import type { RecordChanges } from '../protocol/recordMessages.js';
import { parseJson } from '../utils/json.js';
import type { StoredObject } from './watchableStore.js';

export type WireObject = RecordChanges['objects'][number];

/** Texts of the values of objects, written once for all that ask. */
const jsonTexts = new WeakMap<StoredObject, string>();

/** An object as it is passed on. */
export function toWireObject(object: StoredObject): WireObject {
  const { name, revision, value } = object;
  if (value === undefined) return { name, revision };
  const json = jsonTexts.get(object) ?? JSON.stringify(value);
  jsonTexts.set(object, json);
  return { name, revision, json };
}

/** The object that was passed on; without a value where nobody could read one. */
export function fromWireObject({ name, revision, json }: WireObject): StoredObject {
  return { name, revision, value: json === undefined ? undefined : parseJson(json) };
}
