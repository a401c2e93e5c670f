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
import {findIncarnation} from './find-incarnation.js';
import {ownMethod, type OwnParams} from './own-method.js';
import {type OwnerReply} from './owner-reply.js';
import {parseReservedId} from './parse-reserved-id.js';
import {type ReservedId} from './reserved-id.js';
import {type ShardDirectory} from './shard-directory.js';
import {shardIndex} from './shard-index.js';
import {type ShardTable} from './shard-table.js';

const neverSentKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.PeerUnreachable, ErrorKind.PeerChanged]);

/** Finds the owner of a request id and sends calls to it. */
export class OwnerClient {
	constructor(
		private readonly directory: ShardDirectory,
		private readonly membership: MembershipService,
		private readonly peers: PeerService,
	) {}

	/** Executes a call through the owner of its id. If the owner in the known table cannot be reached or no longer owns the id, the table is read again and the call is sent to the owner that it names then. */
	async run(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		const {service, requestId} = request;
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.executeReserved(request, reserved, signal);
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

		throw ownerUnreachable(`no owner of the request id ${requestId} can be reached`);
	}

	/** Owner of an id, if this node knows it. */
	ownerOf(service: string, requestId: string): PeerAddress | undefined {
		const reserved = parseReservedId(requestId);
		if (reserved) {
			return this.minterOf(reserved);
		}

		const table = this.directory.known(service);
		return table && this.ownerIn(table, requestId);
	}

	/** Owner of an id; reads the table if this node does not know the owner. */
	async findOwner(service: string, requestId: string): Promise<PeerAddress | undefined> {
		const owner = this.ownerOf(service, requestId);
		if (!owner && !parseReservedId(requestId)) {
			await this.directory.refresh(service);
		}

		return owner ?? this.ownerOf(service, requestId);
	}

	/** Forwards a call whose sender used an outdated table to the owner in a newer table. */
	async forward(request: CallRequest, modRevision: number, signal: AbortSignal): Promise<OwnerReply> {
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

	private async executeReserved(request: CallRequest, reserved: ReservedId, signal: AbortSignal): Promise<CallAnswer> {
		const minter = this.minterOf(reserved);
		const reply = minter && await this.tryOwner(request, minter, {modRevision: 0}, signal);
		if (reply) {
			return unwrap(reply);
		}

		throw ownerUnreachable('the node that reserved the request id cannot be reached');
	}

	private async askOwner(request: CallRequest, table: ShardTable, signal: AbortSignal, forwarded?: true): Promise<OwnerReply | undefined> {
		const owner = this.ownerIn(table, request.requestId);
		return owner && this.tryOwner(request, owner, {modRevision: table.modRevision, forwarded}, signal);
	}

	/** Sends a call to an owner; undefined if the node certainly started nothing because it is not the owner or cannot be reached. */
	private async tryOwner(request: CallRequest, owner: PeerAddress, route: Omit<OwnParams, 'request'>, signal: AbortSignal): Promise<OwnerReply | undefined> {
		const timeoutMs = request.context.deadlineAtMs - Date.now();
		if (timeoutMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the call was sent to the owner of the request id', {execution: Execution.Unknown, started: false});
		}

		try {
			const reply = await this.peers.call(owner, ownMethod, {request, ...route}, {timeoutMs, signal});
			return reply.notOwner ? undefined : reply;
		} catch (error) {
			if (error instanceof KumquatlineError && neverSentKinds.has(error.kind)) {
				return undefined;
			}

			throw new KumquatlineError(ErrorKind.OutcomeUnknown, 'the call was sent to the owner of the request id, but no reply was received', {execution: Execution.Unknown, cause: error});
		}
	}

	private ownerIn(table: ShardTable, requestId: string): PeerAddress | undefined {
		const shard = table.shards[shardIndex(table.service, requestId, table.shards.length)];
		return findIncarnation(this.membership, shard);
	}
}

function unwrap({answer, failure}: OwnerReply): CallAnswer {
	if (answer) {
		return answer;
	}

	throw failure ? fromWireError(failure) : ownerUnreachable('the reply of the owner of the request id is empty');
}

function ownerUnreachable(message: string): KumquatlineError {
	return new KumquatlineError(ErrorKind.OwnerUnreachable, message, {execution: Execution.Unknown, started: false});
}
