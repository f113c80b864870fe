/** Objects of the store in the messages between entries. */
import type { RecordChanges } from '../protocol/recordMessages.js';
import { parseJson } from '../utils/json.js';
import type { StoredObject } from './watchableStore.js';

export type WireObject = RecordChanges['objects'][number];

/** JSON texts of object values, so that each value is serialised once for all listeners. */
const jsonTexts = new WeakMap<StoredObject, string>();

/** Converts an object for a message. */
export function toWireObject(object: StoredObject): WireObject {
  const { name, revision, value } = object;
  if (value === undefined) return { name, revision };
  const json = jsonTexts.get(object) ?? JSON.stringify(value);
  jsonTexts.set(object, json);
  return { name, revision, json };
}

/** Converts an object from a message. Its value is undefined if the sender could not read one. */
export function fromWireObject({ name, revision, json }: WireObject): StoredObject {
  return { name, revision, value: json === undefined ? undefined : parseJson(json) };
}
