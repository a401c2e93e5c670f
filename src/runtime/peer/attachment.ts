import {Buffer} from 'node:buffer';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

type Key = string | number;

/** Position of bytes in a message, and their number among the bytes that follow its JSON text. */
type AttachedPart = {
	readonly path: readonly Key[];
	readonly lengthBytes: number;
};

type Container = Record<Key, unknown>;
type Message = Record<string, unknown>;

type Detached = {
	readonly places: AttachedPart[];
	readonly chunks: Uint8Array[];
};

/** Separates all byte arrays from a message, so that the rest can be sent as JSON; `places` in the message has their positions. */
export function detach(message: Message): {message: Message; attachment?: Uint8Array} {
	const detached: Detached = {places: [], chunks: []};
	const stripped = stripBytes(message, [], detached) as Message;
	const {places, chunks} = detached;
	if (places.length === 0) {
		return {message};
	}

	return {message: {...stripped, places}, attachment: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)};
}

/** Inserts the attached bytes of a frame into its message, an object; throws `peer-protocol` if a position is not in the message. */
export function attach(message: unknown, attachment: Uint8Array): void {
	const {places} = message as Message;
	if (places === undefined) {
		return;
	}

	let start = 0;
	for (const part of Array.isArray(places) ? places as unknown[] : [places]) {
		if (!isAttachedPart(part) || start + part.lengthBytes > attachment.length) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'the `places` of the attached bytes are malformed');
		}

		insertAt(message as Message, part.path, attachment.subarray(start, start + part.lengthBytes));
		start += part.lengthBytes;
	}
}

/** Returns the value without its byte arrays; copies only objects that contain some. */
function stripBytes(value: unknown, path: readonly Key[], detached: Detached): unknown {
	if (value instanceof Uint8Array) {
		detached.places.push({path, lengthBytes: value.length});
		detached.chunks.push(value);
		return undefined;
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	let copy: Container | undefined;
	for (const [key, member] of Object.entries(value)) {
		if (typeof member !== 'object') {
			continue;
		}

		const stripped = stripBytes(member, [...path, key], detached);
		if (stripped !== member) {
			copy ??= (Array.isArray(value) ? [...value as unknown[]] : {...value}) as Container;
			copy[key] = stripped;
		}
	}

	return copy ?? value;
}

function insertAt(message: Message, path: readonly Key[], bytes: Uint8Array): void {
	let container: Container = message;
	for (const key of path.slice(0, -1)) {
		const next = Object.hasOwn(container, key) ? container[key] : undefined;
		if (typeof next !== 'object' || next === null) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'the message does not have the path to which attached bytes belong');
		}

		container = next as Container;
	}

	Object.defineProperty(container, path.at(-1)!, {
		value: bytes, enumerable: true, configurable: true, writable: true,
	});
}

function isAttachedPart(value: unknown): value is AttachedPart {
	const {path, lengthBytes} = (value ?? {}) as Partial<AttachedPart>;
	return Array.isArray(path) && path.length > 0 && path.every(key => typeof key === 'string' || typeof key === 'number')
		&& Number.isSafeInteger(lengthBytes) && lengthBytes! >= 0;
}
