import {Buffer} from 'node:buffer';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

type Key = string | number;

/** Position of bytes in a message, and their number among the bytes that follow its JSON text. */
type Place = {
	readonly path: readonly Key[];
	readonly lengthBytes: number;
};

type Holder = Record<Key, unknown>;
type Message = Record<string, unknown>;

type Found = {
	readonly places: Place[];
	readonly chunks: Uint8Array[];
};

/** Separates all byte arrays from a message, so that the rest can be sent as JSON; `places` in the message has their positions. */
export function detach(message: Message): {message: Message; attachment?: Uint8Array} {
	const found: Found = {places: [], chunks: []};
	const stripped = strip(message, [], found) as Message;
	const {places, chunks} = found;
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
	for (const place of Array.isArray(places) ? places as unknown[] : [places]) {
		if (!isPlace(place) || start + place.lengthBytes > attachment.length) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'the `places` of the attached bytes are malformed');
		}

		put(message as Message, place.path, attachment.subarray(start, start + place.lengthBytes));
		start += place.lengthBytes;
	}
}

/** Returns the value without its byte arrays; copies only objects that contain some. */
function strip(value: unknown, path: readonly Key[], found: Found): unknown {
	if (value instanceof Uint8Array) {
		found.places.push({path, lengthBytes: value.length});
		found.chunks.push(value);
		return undefined;
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	let copy: Holder | undefined;
	for (const [key, member] of Object.entries(value)) {
		if (typeof member !== 'object') {
			continue;
		}

		const stripped = strip(member, [...path, key], found);
		if (stripped !== member) {
			copy ??= (Array.isArray(value) ? [...value as unknown[]] : {...value}) as Holder;
			copy[key] = stripped;
		}
	}

	return copy ?? value;
}

function put(message: Message, path: readonly Key[], bytes: Uint8Array): void {
	let holder: Holder = message;
	for (const key of path.slice(0, -1)) {
		const next = Object.hasOwn(holder, key) ? holder[key] : undefined;
		if (typeof next !== 'object' || next === null) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'the message does not have the path to which attached bytes belong');
		}

		holder = next as Holder;
	}

	Object.defineProperty(holder, path.at(-1)!, {
		value: bytes, enumerable: true, configurable: true, writable: true,
	});
}

function isPlace(value: unknown): value is Place {
	const {path, lengthBytes} = (value ?? {}) as Partial<Place>;
	return Array.isArray(path) && path.length > 0 && path.every(key => typeof key === 'string' || typeof key === 'number')
		&& Number.isSafeInteger(lengthBytes) && lengthBytes! >= 0;
}
