/** Shares a box's slots among customers by weight, and among requests of one customer by priority. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ProcessDrain } from '../draining/processDrain.js';
import type { Priority } from '../protocol/headers.js';
import type { Clock } from '../utils/clock.js';

/** Why a request was not admitted. */
export type AdmissionRefusalReason = 'queue-full' | 'deadline-too-close';

/** A refusal, with the milliseconds after which the caller should retry. */
export interface AdmissionRefusal {
  reason: AdmissionRefusalReason;
  retryAfterMilliseconds: number;
}

/** A request that asks for a slot. */
export interface AdmissionRequest {
  customer: string;
  weight: number;
  priority: Priority;
  /** Milliseconds from now until the answer is no longer useful; undefined for no deadline. */
  deadlineMilliseconds: number | undefined;
}

/** A queued or running request. `release` removes it from the queue or frees its slot; further calls have no effect. */
export interface Admission {
  /**
   * Resolves to true once the request may run; to false when its deadline passed, it was released while queued, or the
   * process stops before the request would end.
   */
  ready: Promise<boolean>;
  release(): void;
}

export interface FairQueueOptions {
  slots: number;
  /** Maximum number of queued requests per customer. */
  waitingPerCustomer: number;
  clock: Clock;
  /** The planned stop of the process, which may be too close for a request that has waited. */
  drain: ProcessDrain;
}

interface Waiting {
  request: AdmissionRequest;
  expiresAt: number;
  start: (admitted: boolean) => void;
}

/** Queued and running requests of one customer, and the customer's virtual time. */
interface CustomerQueue {
  waiting: Record<Priority, Waiting[]>;
  running: number;
  /** Virtual start time of the customer's next request. */
  virtualTime: number;
}

const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];
/** Weight of a new sample in the exponential moving average of service times. */
const MOVING_AVERAGE_WEIGHT = 0.1;
const INITIAL_SERVICE_MILLISECONDS = 50;
const MIN_RETRY_AFTER_MILLISECONDS = 200;

/**
 * Start-time fair queueing: the customer with the lowest virtual time runs next, and each run advances its virtual time
 * by 1 / weight. An idle customer resumes at the current virtual time, so it cannot accumulate credit. A request is
 * refused on arrival when its customer's queue is full or the expected wait exceeds its deadline.
 */
export class FairQueue {
  private readonly _options: FairQueueOptions;
  private readonly _customers = new Map<string, CustomerQueue>();
  private _running = 0;
  private _waitingCount = 0;
  private _virtualNow = 0;
  private _serviceMilliseconds = INITIAL_SERVICE_MILLISECONDS;

  constructor(options: FairQueueOptions) {
    this._options = options;
  }

  get running(): number {
    return this._running;
  }

  get waiting(): number {
    return this._waitingCount;
  }

  get slots(): number {
    return this._options.slots;
  }

  /** Starts or queues a request, or refuses it. */
  admit(request: AdmissionRequest): Result<Admission, AdmissionRefusal> {
    const customer = this._customer(request.customer);
    const queued = waitingCountOf(customer);
    const expectedWait = this._expectedWait(customer, queued, request.weight);
    if (queued >= this._options.waitingPerCustomer) return err(refusal('queue-full', expectedWait));
    const deadline = request.deadlineMilliseconds;
    if (deadline !== undefined && expectedWait + this._serviceMilliseconds > deadline) {
      return err(refusal('deadline-too-close', expectedWait));
    }
    return ok(this._enqueue(customer, request));
  }

  /** Expected wait, in milliseconds, of a request appended to the customer's queue. */
  private _expectedWait(customer: CustomerQueue, queued: number, weight: number): number {
    if (this._running < this._options.slots && queued === 0) return 0;
    const share = Math.max(1, this._options.slots * this._shareOf(customer, weight));
    return ((queued + 1) * this._serviceMilliseconds) / share;
  }

  /** Share of the slots that the customer gets next to the other active customers, each counted with weight 1. */
  private _shareOf(customer: CustomerQueue, weight: number): number {
    let activeCustomers = 1;
    for (const other of this._customers.values()) {
      if (other !== customer && waitingCountOf(other) + other.running > 0) activeCustomers++;
    }
    return Math.min(1, weight / (weight + activeCustomers - 1));
  }

  private _enqueue(customer: CustomerQueue, request: AdmissionRequest): Admission {
    const deadline = request.deadlineMilliseconds;
    const expiresAt =
      deadline === undefined ? Number.POSITIVE_INFINITY : this._options.clock.now() + deadline;
    let startedAt: number | undefined;
    let released = false;
    let start!: (admitted: boolean) => void;
    const ready = new Promise<boolean>((resolve) => {
      start = (admitted) => {
        if (admitted) startedAt = this._options.clock.now();
        resolve(admitted);
      };
    });
    const item: Waiting = { request, expiresAt, start };
    if (waitingCountOf(customer) === 0 && customer.running === 0) {
      customer.virtualTime = Math.max(customer.virtualTime, this._virtualNow);
    }
    customer.waiting[request.priority].push(item);
    this._waitingCount++;
    const release = (): void => {
      if (released) return;
      released = true;
      if (startedAt === undefined) this._leaveQueue(customer, item);
      else this._finish(customer, request.customer, this._options.clock.now() - startedAt);
    };
    this._runNext();
    return { ready, release };
  }

  private _leaveQueue(customer: CustomerQueue, item: Waiting): void {
    const queue = customer.waiting[item.request.priority];
    const position = queue.indexOf(item);
    if (position < 0) return;
    queue.splice(position, 1);
    this._waitingCount--;
    item.start(false);
  }

  private _finish(customer: CustomerQueue, name: string, milliseconds: number): void {
    customer.running--;
    this._running--;
    this._serviceMilliseconds += MOVING_AVERAGE_WEIGHT * (milliseconds - this._serviceMilliseconds);
    if (
      customer.running === 0 &&
      waitingCountOf(customer) === 0 &&
      customer.virtualTime <= this._virtualNow
    ) {
      this._customers.delete(name);
    }
    this._runNext();
  }

  private _runNext(): void {
    while (this._running < this._options.slots) {
      const customer = this._nextCustomer();
      if (!customer) return;
      const item = firstWaiting(customer)!;
      customer.waiting[item.request.priority].shift();
      this._waitingCount--;
      if (!this._mayStart(item)) {
        item.start(false);
        continue;
      }
      this._virtualNow = Math.max(this._virtualNow, customer.virtualTime);
      customer.virtualTime += 1 / item.request.weight;
      customer.running++;
      this._running++;
      item.start(true);
    }
  }

  private _mayStart({ expiresAt }: Waiting): boolean {
    const { clock, drain } = this._options;
    const left = expiresAt - clock.now();
    return left >= 0 && drain.mayStart(left);
  }

  private _nextCustomer(): CustomerQueue | undefined {
    let best: CustomerQueue | undefined;
    for (const customer of this._customers.values()) {
      if (waitingCountOf(customer) === 0) continue;
      if (!best || customer.virtualTime < best.virtualTime) best = customer;
    }
    return best;
  }

  private _customer(name: string): CustomerQueue {
    let customer = this._customers.get(name);
    if (!customer) {
      customer = { waiting: { high: [], normal: [], low: [] }, running: 0, virtualTime: this._virtualNow };
      this._customers.set(name, customer);
    }
    return customer;
  }
}

function waitingCountOf(customer: CustomerQueue): number {
  return PRIORITIES.reduce((sum, priority) => sum + customer.waiting[priority].length, 0);
}

function firstWaiting(customer: CustomerQueue): Waiting | undefined {
  for (const priority of PRIORITIES) {
    if (customer.waiting[priority].length > 0) return customer.waiting[priority][0];
  }
  return undefined;
}

function refusal(reason: AdmissionRefusalReason, expectedWait: number): AdmissionRefusal {
  return { reason, retryAfterMilliseconds: Math.max(MIN_RETRY_AFTER_MILLISECONDS, Math.ceil(expectedWait)) };
}
