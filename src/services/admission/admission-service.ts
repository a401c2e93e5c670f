import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';
import {type UpstreamLoad} from './upstream-load.js';

/** Measures the self time of an execution; its inner calls are reported as they start and end. */
export interface SelfTimeTracker {
	innerCallStarted(): void;
	innerCallEnded(): void;
}

/** Executes an admitted call and reports its inner calls to `selfTime`. */
export type ExecuteCallback<T> = (selfTime: SelfTimeTracker, signal: AbortSignal) => Promise<T>;

/** Decides which calls the VM's own backend server executes, in which order, and how many concurrently. */
export interface AdmissionService {
	readonly load: UpstreamLoad;
	/**
	Queues the call and executes it once the concurrency limit permits.
	Throws `overloaded` (refused, or dropped from a full queue), `deadline-exceeded` or `caller-gone`, all with `started: false`, for a call that was never executed.
	*/
	run<T>(context: CallContext, execute: ExecuteCallback<T>, signal: AbortSignal): Promise<T>;
	/** Sets the capacity that the backend server announced; another port means a new backend server, whose limit starts afresh. */
	setAnnouncedCapacity(slots: number, connections: number, port?: number): void;
	/** Records that the backend server shed a call, which lowers the limit. */
	recordShed(): void;
	/** Resolves when no call is queued or running. */
	whenIdle(): Promise<void>;
}

export const AdmissionService = createServiceId<AdmissionService>('admission');
