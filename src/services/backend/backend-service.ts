import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type SelfTimeTracker} from '../admission/admission-service.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';

/** The VM's own backend server: its announcements and inner calls on loopback, and calls to it. */
export interface BackendService {
	readonly announcement: BackendAnnouncement | undefined;
	/** Fired when the announcement of the backend server changes; undefined when it has stopped or no longer announces itself. */
	readonly onDidAnnounce: Event<BackendAnnouncement | undefined>;
	/** Port on which the backend server announces itself and makes inner calls. */
	readonly port: number;
	listen(): Promise<void>;
	/** Sets the handler that executes inner calls. */
	setCallHandler(handler: (request: CallRequest, signal: AbortSignal) => Promise<CallAnswer>): void;
	/** Sets the handler for requests of the backend server that belong to no running call. */
	setRequestHandler(handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>): void;
	/**
	Executes a call on the backend server.
	Errors: `backend-unreachable` (not started), `backend-shed` (`started: false` only if the backend server said so), `backend-failed`, `answer-too-large`, `deadline-exceeded`, `caller-gone`.
	*/
	invoke(request: CallRequest, selfTime: SelfTimeTracker, signal: AbortSignal): Promise<CallAnswer>;
}

export const BackendService = createServiceId<BackendService>('backend');
