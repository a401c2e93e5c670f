import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {v7 as uuidv7} from 'uuid';
import {type ReservedId} from './reserved-id.js';

const keyBytes = 32;
const tagBytes = 16;

/** Mints ids that this incarnation of the node owns and verifies them with a secret key (HMAC, RFC 2104). */
export class ReservedIds {
	private readonly key = randomBytes(keyBytes);

	constructor(private readonly incarnation: string) {}

	mint(): string {
		const uuid = uuidv7({msecs: Date.now()});
		return `${uuid}.${this.incarnation}.${Buffer.from(this.tagOf(uuid)).toString('base64url')}`;
	}

	/** Whether this incarnation minted the id. */
	isGenuine({uuid, incarnation, tag}: ReservedId): boolean {
		const given = Buffer.from(tag, 'base64url');
		return incarnation === this.incarnation && given.length === tagBytes && timingSafeEqual(given, this.tagOf(uuid));
	}

	private tagOf(uuid: string): Uint8Array {
		return createHmac('sha256', this.key).update(uuid).digest().subarray(0, tagBytes);
	}
}
