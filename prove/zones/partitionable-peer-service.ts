import {ErrorKind} from '../../src/base/error-kind.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {sleep} from '../../src/base/sleep.js';
import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerCallOptions} from '../../src/runtime/peer/peer-service.js';
import {type ZonePartition} from './zone-partition.js';

/** Silence after which a call into an unreachable zone fails. */
const silenceMs = 800;

/** Peer calls that neither reach another zone nor return replies from it while the zones are partitioned. */
export class PartitionablePeerService extends FramedPeerService {
	zonePartition!: ZonePartition;

	override async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R> {
		if (this.zonePartition.separates(peer.nodeId)) {
			await sleep(Math.min(silenceMs, options.timeoutMs), new AbortController().signal);
			throw new KumquatlineError(ErrorKind.PeerUnreachable, `${peer.nodeId} is unreachable during the zone partition`, {started: false});
		}

		const changesBefore = this.zonePartition.changeCount;
		const result = await super.call(peer, method, params, options);
		if (this.zonePartition.changeCount !== changesBefore && this.zonePartition.separates(peer.nodeId)) {
			throw new KumquatlineError(ErrorKind.PeerLost, `${peer.nodeId} became unreachable in a zone partition during the call`);
		}

		return result;
	}
}

serviceDependencies.set(PartitionablePeerService, serviceDependencies.get(FramedPeerService)!);
