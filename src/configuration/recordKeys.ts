/** Keys of the objects that are stored in the object API. */

/** Identifies a configuration of a customer. */
export interface ConfigurationName {
  customer: string;
  configuration: string;
}

export function templateKey(name: string): string {
  return `template/${name}`;
}

export function customerKey(name: string): string {
  return `customer/${name}`;
}

/** Kinds of objects that are stored for each configuration. */
export type ConfigurationKind = 'configuration' | 'rollout' | 'lease' | 'ledger';

/** Returns the key of a configuration's object of the given kind. */
export function configurationKey(kind: ConfigurationKind, name: ConfigurationName): string {
  return `${kind}/${name.customer}/${name.configuration}`;
}

/** Returns the configuration of a key that was created by {@link configurationKey}. */
export function configurationOfKey(key: string): ConfigurationName | undefined {
  const [, customer, configuration] = key.split('/');
  return customer && configuration ? { customer, configuration } : undefined;
}

/** Returns `customer.configuration`, the short form in logs, rollout names and tickets. */
export function shortName(name: ConfigurationName): string {
  return `${name.customer}.${name.configuration}`;
}
