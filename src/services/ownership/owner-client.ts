import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type MembershipService} from '../membership/membership-service.js';
import {findRun} from './find-run.js';
import {ownMethod, type OwnParams} from './own-method.js';
import {type OwnReply} from './own-reply.js';
import {parseReservedId} from './parse-reserved-id.js';
import {type ReservedId} from './reserved-id.js';
import {type ShardDirectory} from './shard-directory.js';
import {shardIndex} from './shard-index.js';
import {type ShardTable} from './shard-table.js';

const neverSentKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.PeerUnreachable, ErrorKind.PeerChanged]);

/** Finds the owner of a request id and puts calls to it. */
export class OwnerClient {
	constructor(
		private readonly directory: ShardDirectory,
		private readonly membership: MembershipService,
		private readonly peers: PeerService,
	) {}

	/** Runs a call through the owner of its id; one that started nothing is asked anew once the table has been read again. */
	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		const {service, requestId} = request;
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.runReserved(request, reserved, signal);
		}

		const table = await this.directory.find(service);
		const first = table && await this.askOwner(request, table, signal);
		if (first) {
			return unwrap(first);
		}

		const newer = await this.directory.refresh(service);
		const second = newer && await this.askOwner(request, newer, signal);
		if (second) {
			return unwrap(second);
		}

		throw ownerUnreachable(`no owner of ${requestId} can be reached`);
	}

	/** Owner of an id as far as it is known here. */
	ownerOf(service: string, requestId: string): PeerAddress | undefined {
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.minterOf(reserved);
		}

		const table = this.directory.known(service);
		return table && this.ownerIn(table, requestId);
	}

	/** Owner of an id; reads the table when the owner is not known here. */
	async findOwner(service: string, requestId: string): Promise<PeerAddress | undefined> {
		const owner = this.ownerOf(service, requestId);
		if (!owner && !parseReservedId(requestId)) {
			await this.directory.refresh(service);
		}

		return owner ?? this.ownerOf(service, requestId);
	}

	/** Sends a late arrival on to the owner that a newer table names. */
	async forward(request: CallRequest, modRevision: number, signal: AbortSignal): Promise<OwnReply> {
		const table = this.directory.known(request.service);
		if (!table || table.modRevision <= modRevision) {
			return {notOwner: true};
		}

		try {
			return await this.askOwner(request, table, signal, true) ?? {notOwner: true};
		} catch (error) {
			return {failure: toWireError(error)};
		}
	}

	private minterOf({incarnation}: ReservedId): PeerAddress | undefined {
		return this.membership.members.find(member => member.incarnation === incarnation);
	}

	private async runReserved(request: CallRequest, reserved: ReservedId, signal: AbortSignal): Promise<CallAnswer> {
		const minter = this.minterOf(reserved);
		const reply = minter && await this.tryOwner(request, minter, {modRevision: 0}, signal);
		if (reply) {
			return unwrap(reply);
		}

		throw ownerUnreachable('the node that reserved the id can not be reached');
	}

	private async askOwner(request: CallRequest, table: ShardTable, signal: AbortSignal, forwarded?: true): Promise<OwnReply | undefined> {
		const owner = this.ownerIn(table, request.requestId);
		return owner && this.tryOwner(request, owner, {modRevision: table.modRevision, forwarded}, signal);
	}

	/** Asks the owner that a table names; undefined when it certainly started nothing and is not the owner or not there. */
	private async tryOwner(request: CallRequest, owner: PeerAddress, route: Omit<OwnParams, 'request'>, signal: AbortSignal): Promise<OwnReply | undefined> {
		const timeoutMs = request.context.deadlineAtMs - Date.now();
		if (timeoutMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the owner was asked', {execution: Execution.Unknown, started: false});
		}

		try {
			const reply = await this.peers.call(owner, ownMethod, {request, ...route}, {timeoutMs, signal});
			return reply.notOwner ? undefined : reply;
		} catch (error) {
			if (error instanceof KumquatlineError && neverSentKinds.has(error.kind)) {
				return undefined;
			}

			throw new KumquatlineError(ErrorKind.OutcomeUnknown, 'the owner was lost after the call was sent to it', {execution: Execution.Unknown, cause: error});
		}
	}

	private ownerIn(table: ShardTable, requestId: string): PeerAddress | undefined {
		const shard = table.shards[shardIndex(table.service, requestId, table.shards.length)];
		return findRun(this.membership, shard);
	}
}

function unwrap({answer, failure}: OwnReply): CallAnswer {
	if (answer) {
		return answer;
	}

	throw failure ? fromWireError(failure) : ownerUnreachable('the owner replied nothing');
}

function ownerUnreachable(message: string): KumquatlineError {
	return new KumquatlineError(ErrorKind.OwnerUnreachable, message, {execution: Execution.Unknown, started: false});
}
