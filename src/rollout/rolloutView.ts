/** What the agents of a configuration report, put beside what is wanted. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { Specification } from '../configuration/template.js';
import type { AgentLink } from '../membership/agentLink.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { ServiceReport } from '../protocol/reportMessages.js';

/** One box of a rollout. */
export interface RolloutBox {
  box: string;
  link: AgentLink | undefined;
  /** Whether the platform lists the box as live and its agent is not leaving. */
  expected: boolean;
  /** Whether the agent is connected and takes work. */
  live: boolean;
  report: ServiceReport | undefined;
}

/** Returns the boxes that a specification names and the platform knows. */
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

/** Agents that still hold a configuration whose specification does not name them any more. */
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

/** What an agent reports of one configuration. */
export function serviceReport(
  link: AgentLink | undefined,
  name: ConfigurationName,
): ServiceReport | undefined {
  return link?.report?.services.find(
    (service) => service.customer === name.customer && service.configuration === name.configuration,
  );
}
