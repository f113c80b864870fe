/** Combines the boxes of a specification with their state on the platform and the reports of their agents. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { Specification } from '../configuration/template.js';
import type { AgentLink } from '../membership/agentLink.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { ServiceReport } from '../protocol/reportMessages.js';

/** The state of one box of a rollout. */
export interface RolloutBox {
  box: string;
  link: AgentLink | undefined;
  /** Whether neither the platform nor the agent says that the box is leaving. */
  expected: boolean;
  /** Whether the agent is connected and accepts work. */
  live: boolean;
  report: ServiceReport | undefined;
}

/** Returns the boxes that a specification names and that the platform lists as agents. */
export function rolloutBoxes(
  name: ConfigurationName,
  specification: Specification,
  boxes: BoxListFollower,
  links: AgentLinks,
): RolloutBox[] {
  const known = specification.boxes.filter((box) => boxes.get(box)?.role === 'agent');
  return known.map((box) => {
    const link = links.get(box);
    const leaving = boxes.get(box)!.state === 'leaving' || (link?.report?.leaving ?? false);
    return { box, link, expected: !leaving, live: link?.live ?? false, report: serviceReport(link, name) };
  });
}

/** Returns the connected agents that still run a configuration although its specification no longer names them. */
export function linksToWithdraw(
  name: ConfigurationName,
  specification: Specification,
  links: AgentLinks,
): AgentLink[] {
  const named = new Set(specification.boxes);
  return links
    .all()
    .filter((link) => link.connected && !named.has(link.box.box) && serviceReport(link, name));
}

/** Returns the part of an agent's report that concerns one configuration. */
export function serviceReport(
  link: AgentLink | undefined,
  name: ConfigurationName,
): ServiceReport | undefined {
  return link?.report?.services.find(
    (service) => service.customer === name.customer && service.configuration === name.configuration,
  );
}
