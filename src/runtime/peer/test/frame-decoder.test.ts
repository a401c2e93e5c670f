import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {encodeFrame} from '../encode-frame.js';
import {type Frame} from '../frame.js';
import {FrameDecoder} from '../frame-decoder.js';

const maxFrameBytes = 1000;
const seed = 20_260;

test(`frames are decoded completely and in order however the bytes are split into chunks (seed ${seed})`, t => {
	const messages = fc.array(fc.record({json: fc.string({unit: 'grapheme', maxLength: 60}), attachment: fc.uint8Array({maxLength: 60})}));
	fc.assert(fc.property(messages, fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (sent, chunkSizes) => {
		const bytes = Buffer.concat(sent.map(({json, attachment}) => encodeFrame(json, attachment)));
		const decoder = new FrameDecoder(maxFrameBytes);
		const frames: Frame[] = [];
		for (let offset = 0, turn = 0; offset < bytes.length; turn++) {
			const lengthBytes = chunkSizes[turn % chunkSizes.length];
			frames.push(...decoder.push(bytes.subarray(offset, offset + lengthBytes)));
			offset += lengthBytes;
		}

		t.deepEqual(frames.map(({json, attachment}) => ({json, attachment: Uint8Array.from(attachment)})), sent);
	}), {seed});
});

test('a frame that is too long is rejected after the frames before it are yielded', t => {
	const decoder = new FrameDecoder(maxFrameBytes);
	const frames: string[] = [];
	const error = t.throws(() => {
		for (const frame of decoder.push(Buffer.concat([encodeFrame('first'), encodeFrame('x'.repeat(maxFrameBytes + 1))]))) {
			frames.push(frame.json);
		}
	});
	t.deepEqual(frames, ['first']);
	t.like(error, {kind: 'peer-protocol'});
});

test('a frame whose JSON text is declared longer than the frame is rejected', t => {
	const frame = Buffer.from(encodeFrame('text'));
	frame.writeUInt32BE(maxFrameBytes, 4);
	t.throws(() => [...new FrameDecoder(maxFrameBytes).push(frame)], {message: /can't hold/v});
});
