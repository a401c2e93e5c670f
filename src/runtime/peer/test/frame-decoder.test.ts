import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {encodeFrame} from '../encode-frame.js';
import {FrameDecoder} from '../frame-decoder.js';

const maxFrameBytes = 1000;
const seed = 20_260;

test(`frames come out whole and in order however the bytes are cut (seed ${seed})`, t => {
	fc.assert(fc.property(fc.array(fc.string({unit: 'grapheme', maxLength: 60})), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (texts, cuts) => {
		const bytes = Buffer.concat(texts.map(text => encodeFrame(text)));
		const decoder = new FrameDecoder(maxFrameBytes);
		const frames: string[] = [];
		for (let offset = 0, turn = 0; offset < bytes.length; turn++) {
			const lengthBytes = cuts[turn % cuts.length];
			frames.push(...decoder.push(bytes.subarray(offset, offset + lengthBytes)));
			offset += lengthBytes;
		}

		t.deepEqual(frames, texts);
	}), {seed});
});

test('a frame that is too long is refused after those before it', t => {
	const decoder = new FrameDecoder(maxFrameBytes);
	const frames: string[] = [];
	const error = t.throws(() => {
		for (const frame of decoder.push(Buffer.concat([encodeFrame('first'), encodeFrame('x'.repeat(maxFrameBytes + 1))]))) {
			frames.push(frame);
		}
	});
	t.deepEqual(frames, ['first']);
	t.like(error, {kind: 'peer-protocol'});
});
