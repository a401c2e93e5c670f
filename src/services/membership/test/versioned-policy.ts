import {Emitter} from '../../../base/emitter.js';
import {type ConfirmationSource} from '../../policy/confirmation-source.js';
import {type Policy} from '../../policy/policy.js';
import {type PolicyService} from '../../policy/policy-service.js';

/** Policy service that handles version numbers only and adopts every newer version that it hears of. */
export class VersionedPolicy implements PolicyService {
	readonly onDidChange;
	version = 1;
	readonly confirmationAgeMs = Number.POSITIVE_INFINITY;
	readonly onDidConfirm = new Emitter<ConfirmationSource>().event;
	private readonly changeEmitter = new Emitter<Policy>();

	constructor() {
		this.onDidChange = this.changeEmitter.event;
	}

	get current(): Policy {
		throw new Error('not implemented');
	}

	recordPeerVersion(version: number): void {
		if (version > this.version) {
			this.version = version;
			this.changeEmitter.fire({} as Policy);
		}
	}

	recordPeerConfirmation(): void {/* There is no store to read. */}

	async start(): Promise<void> {/* Nothing to follow. */}

	async initialize(): Promise<never> {
		throw new Error('not implemented');
	}

	async submit(): Promise<never> {
		throw new Error('not implemented');
	}

	async restore(): Promise<never> {
		throw new Error('not implemented');
	}

	preview(): never {
		throw new Error('not implemented');
	}
}
