import {type IncomingMessage} from 'node:http';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {BodyCollector} from './body-collector.js';

type OnBytes = (bytes: number) => void;

/** Reads the complete body of a request; throws `body-too-large`, `caller-gone` if the body stays incomplete, or the error that `onWillBuffer` throws for received bytes. */
export async function readBody(message: IncomingMessage, maxBodyBytes: number, onWillBuffer?: OnBytes): Promise<Uint8Array> {
	if (message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined) {
		message.resume();
		return new Uint8Array();
	}

	if (Number(message.headers['content-length'] ?? 0) > maxBodyBytes) {
		throw bodyTooLargeError(maxBodyBytes);
	}

	return collect(message, maxBodyBytes, onWillBuffer);
}

async function collect(message: IncomingMessage, maxBodyBytes: number, onWillBuffer?: OnBytes): Promise<Uint8Array> {
	const collector = new BodyCollector();
	const completed = new Deferred<void>();
	let sizeBytes = 0;
	message.on('data', (chunk: Uint8Array) => {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBodyBytes) {
			completed.reject(bodyTooLargeError(maxBodyBytes));
			return;
		}

		try {
			onWillBuffer?.(chunk.length);
			collector.append(chunk);
		} catch (error) {
			completed.reject(error as Error);
			message.pause();
		}
	});
	message.once('end', completed.resolve);
	message.once('error', error => {
		completed.reject(new KumquatlineError(ErrorKind.CallerGone, 'the request ended before its body was complete', {started: false, cause: error}));
	});
	await completed.promise;
	return collector.take();
}

function bodyTooLargeError(maxBodyBytes: number): KumquatlineError {
	return new KumquatlineError(ErrorKind.BodyTooLarge, `the body is larger than ${maxBodyBytes} bytes`, {started: false});
}
