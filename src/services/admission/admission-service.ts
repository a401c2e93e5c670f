import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';
import {type UpstreamLoad} from './upstream-load.js';

/** Measures the backend server's own time: its sub-calls are reported as they begin and end. */
export interface OwnTime {
	subCallBegan(): void;
	subCallEnded(): void;
}

/** Work that was admitted; given how to report its sub-calls. */
export type AdmittedWork<T> = (ownTime: OwnTime, signal: AbortSignal) => Promise<T>;

/** Decides what the VM's own backend server takes, in which order and how much at once. */
export interface AdmissionService {
	readonly load: UpstreamLoad;
	/**
	Queues the work and runs it when there is room.
	Throws `overloaded` (refused or pushed out), `deadline-exceeded` or `caller-gone`, all with `started: false`, for work that never ran.
	*/
	run<T>(context: CallContext, work: AdmittedWork<T>, signal: AbortSignal): Promise<T>;
	/** Bounds that the backend server announced; one at another port is new and begins from a low limit. */
	setAnnounced(slots: number, connections: number, port?: number): void;
	/** The backend server shed work: the limit falls. */
	noteShed(): void;
	/** Resolves when nothing is queued or running. */
	whenIdle(): Promise<void>;
}

export const AdmissionService = createServiceId<AdmissionService>('admission');
