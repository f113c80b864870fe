/** Names of the objects that the system keeps in the object API. */

/** A customer's configuration by name. */
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

/** Kinds of objects that a configuration has. */
export type ConfigurationKind = 'configuration' | 'rollout' | 'lease' | 'ledger';

/** The object of one `kind` that belongs to a configuration. */
export function configurationKey(kind: ConfigurationKind, name: ConfigurationName): string {
  return `${kind}/${name.customer}/${name.configuration}`;
}

/** Returns the configuration that a key made by {@link configurationKey} belongs to. */
export function configurationOfKey(key: string): ConfigurationName | undefined {
  const [, customer, configuration] = key.split('/');
  return customer && configuration ? { customer, configuration } : undefined;
}

/** `customer.configuration`: the short name in logs, orders and leases. */
export function shortName(name: ConfigurationName): string {
  return `${name.customer}.${name.configuration}`;
}
