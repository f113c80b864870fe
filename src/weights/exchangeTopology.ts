/**
 * The topology for production; the others are baselines. The boxes of a data centre exchange chunks with each other.
 * Some of them are gateways, which exchange chunks with other data centres: each chunk is fetched into a data centre
 * once, by one of its gateways. A few of the gateways fetch from the origin. See docs/decisions/0001-distribution.md.
 */
import type { Member } from '../protocol/rolloutMessages.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';
import type { Neighbour, Topology, TopologyPolicy } from './topology.js';

/** Number of gateways of a data centre. */
const GATEWAYS_PER_DATA_CENTRE = 8;
/** Boxes that fetch from the origin at the same time, in all data centres together, for a rollout of weight 1. */
const ORIGIN_FETCHERS = 9;
/**
 * A box that has fetched a chunk from the origin sends it once to each data centre. With fewer such boxes, their
 * outgoing links would be too slow.
 */
const MINIMUM_ORIGIN_FETCHERS_PER_DATA_CENTRE = 2;
/** In data centres of up to this many boxes, all boxes are neighbours. */
const FULL_MESH_BOXES = 16;

/** The boxes of a rollout in one data centre. Both lists have the same order in every process. */
interface DataCentreLayout {
  dataCentre: string;
  members: Member[];
  gateways: Member[];
}

export class ExchangeTopology implements TopologyPolicy {
  topologyOf(box: string, members: readonly Member[]): Topology {
    const dataCentres = dataCentreLayouts(members);
    const own = dataCentres.find((layout) => layout.members.some((member) => member.box === box));
    if (!own) return { neighbours: [], importers: () => [] };
    const isGateway = own.gateways.some((member) => member.box === box);
    const neighbours = [
      ...dataCentreNeighbours(own, box),
      ...(isGateway ? crossDataCentreNeighbours(dataCentres, own) : []),
    ];
    const gateways = own.gateways.map((member) => member.box);
    return { neighbours, importers: (chunk) => rotated(gateways, chunk % gateways.length) };
  }

  initialOriginFetches(
    missing: readonly number[],
    members: readonly Member[],
    weight: number,
  ): Map<string, number[]> {
    const fetchers = chooseOriginFetchers(dataCentreLayouts(members), weight);
    const chunksByBox = new Map<string, number[]>();
    missing.forEach((chunk, position) => {
      const { box } = fetchers[position % fetchers.length];
      chunksByBox.set(box, [...(chunksByBox.get(box) ?? []), chunk]);
    });
    return chunksByBox;
  }
}

/** Returns the gateways of all data centres: the boxes that exchange chunks with other data centres. */
export function exchangeGateways(members: readonly Member[]): Member[] {
  return dataCentreLayouts(members).flatMap((layout) => layout.gateways);
}

function dataCentreLayouts(members: readonly Member[]): DataCentreLayout[] {
  const dataCentres = [...new Set(members.map((member) => member.dataCentre))].sort(compareText);
  return dataCentres.map((dataCentre) => {
    const inDataCentre = members.filter((member) => member.dataCentre === dataCentre);
    const ordered = rendezvousOrder('layout', inDataCentre, (member) => member.box);
    return { dataCentre, members: ordered, gateways: ordered.slice(0, GATEWAYS_PER_DATA_CENTRE) };
  });
}

/** Chooses the gateways that fetch from the origin, in turn from each data centre. */
function chooseOriginFetchers(dataCentres: readonly DataCentreLayout[], weight: number): Member[] {
  const fetcherCount = Math.max(
    MINIMUM_ORIGIN_FETCHERS_PER_DATA_CENTRE * dataCentres.length,
    Math.round(ORIGIN_FETCHERS * weight),
  );
  const fetchers: Member[] = [];
  for (let rank = 0; rank < GATEWAYS_PER_DATA_CENTRE && fetchers.length < fetcherCount; rank++) {
    for (const { gateways } of dataCentres) {
      if (gateways[rank] && fetchers.length < fetcherCount) fetchers.push(gateways[rank]);
    }
  }
  return fetchers;
}

/**
 * Returns the neighbours of a box in its data centre: all boxes if there are few, otherwise those at distances 1, 2,
 * 4, … on a ring of all boxes. Gateways are also neighbours of all other gateways.
 */
function dataCentreNeighbours(layout: DataCentreLayout, box: string): Neighbour[] {
  const { members } = layout;
  const self = members.findIndex((member) => member.box === box);
  const neighbourIndexes = new Set<number>();
  const nextDistance =
    members.length <= FULL_MESH_BOXES
      ? (distance: number) => distance + 1
      : (distance: number) => distance * 2;
  for (let distance = 1; distance <= members.length / 2; distance = nextDistance(distance)) {
    neighbourIndexes.add((self + distance) % members.length);
    neighbourIndexes.add((self - distance + members.length) % members.length);
  }
  if (self < GATEWAYS_PER_DATA_CENTRE)
    layout.gateways.forEach((_gateway, index) => neighbourIndexes.add(index));
  neighbourIndexes.delete(self);
  return [...neighbourIndexes].map((index) => ({ member: members[index], crossDataCentre: false }));
}

function crossDataCentreNeighbours(
  dataCentres: readonly DataCentreLayout[],
  own: DataCentreLayout,
): Neighbour[] {
  const others = dataCentres.filter((layout) => layout !== own).flatMap((layout) => layout.gateways);
  return others.map((member) => ({ member, crossDataCentre: true }));
}

function rotated(boxes: readonly string[], first: number): string[] {
  return [...boxes.slice(first), ...boxes.slice(0, first)];
}
