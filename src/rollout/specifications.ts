/** Reads the configurations in the replica and resolves them to rollout specifications. */
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, configurationOfKey, templateKey } from '../configuration/recordKeys.js';
import type { Replica } from '../configuration/replica.js';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { problemsOf, resolveSpecification } from '../configuration/resolveSpecification.js';
import type { Specification } from '../configuration/template.js';
import { configurationSchema, templateSchema } from '../configuration/template.js';

/** A configuration as its operator wants it: with a specification, or withdrawn, which means deleted. */
export interface WantedConfiguration {
  name: ConfigurationName;
  /** Undefined when the configuration has been withdrawn or is invalid. */
  specification: Specification | undefined;
  withdrawn: boolean;
  /** The revision of the configuration object. */
  revision: number;
}

/** Resolves configurations with their templates; the results are cached until the replica changes. */
export class Specifications {
  private readonly _replica: Replica;
  private _cache: WantedConfiguration[] = [];
  private _cachedAt = -1;

  constructor(replica: Replica) {
    this._replica = replica;
    replica.on('change', () => (this._cachedAt = -1));
  }

  /** Returns all configurations, including withdrawn ones. */
  all(): WantedConfiguration[] {
    if (this._cachedAt < 0) {
      this._cache = this._replica.recordsOf('configuration').map((record) => this._read(record.key));
      this._cachedAt = this._replica.highestRevision;
    }
    return this._cache;
  }

  find(name: ConfigurationName): WantedConfiguration | undefined {
    return this.all().find(({ name: other }) => sameName(name, other));
  }

  /** Resolves a configuration value, such as one that is checked before it is stored. */
  resolve(value: unknown): Result<Specification, FieldProblem[]> {
    const configuration = configurationSchema.safeParse(value);
    if (!configuration.success) return err(problemsOf(configuration.error, value));
    const { template: name } = configuration.data;
    const template = templateSchema.safeParse(withoutChangeId(this._replica.value(templateKey(name))));
    if (!template.success)
      return err([{ field: 'template', value: name, allowed: 'the name of a template that exists' }]);
    return resolveSpecification(template.data, configuration.data);
  }

  private _read(key: string): WantedConfiguration {
    const record = this._replica.record(key)!;
    const name = configurationOfKey(key)!;
    const { deleted: withdrawn, revision } = record;
    const resolved = withdrawn ? undefined : this.resolve(withoutChangeId(record.value));
    return { name, specification: resolved?.unwrapOr(undefined as never), withdrawn, revision };
  }
}

/** Removes the change id that is stored with operators' objects. */
export function withoutChangeId(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).filter(([name]) => name !== 'changeId'));
}

/** Whether two names identify the same configuration. */
export function sameName(a: ConfigurationName, b: ConfigurationName): boolean {
  return configurationKey('configuration', a) === configurationKey('configuration', b);
}
