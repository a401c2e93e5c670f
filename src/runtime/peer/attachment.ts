/** Parameters or a result with bytes that travel beside the JSON text. */
export type WithAttachment = {
	readonly attachment?: Uint8Array;
};

type Holder = Record<string, unknown>;

/** Takes the bytes out of a value that is to travel as JSON. */
export function detach<T>(value: T): {value: T; attachment?: Uint8Array} {
	const attachment = (value as WithAttachment | undefined)?.attachment;
	if (!(attachment instanceof Uint8Array)) {
		return {value};
	}

	return {value: {...value, attachment: undefined}, attachment};
}

/** Puts the bytes of a frame into the value that they came with. */
export function attach(value: unknown, attachment: Uint8Array): void {
	if (attachment.length > 0 && typeof value === 'object' && value !== null) {
		(value as Holder).attachment = attachment;
	}
}
