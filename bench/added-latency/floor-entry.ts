// Entry program of the floor: receives HTTP and forwards over framed TCP, without any decisions. Argument: port of the upstream program.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import process from 'node:process';
import {buffer} from 'node:stream/consumers';
import {encodeFrame} from '../../src/runtime/peer/encode-frame.js';
import {FrameDecoder} from '../../src/runtime/peer/frame-decoder.js';
import {type FloorMessage} from './floor-message.js';

const maxFrameBytes = 4_194_304;
const decoder = new FrameDecoder(maxFrameBytes);
const waiting = new Map<number, ServerResponse>();
const upstream = connect({port: Number(process.argv[2]), host: '127.0.0.1', noDelay: true});
let lastId = 0;

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const body = await buffer(request);
	const message: FloorMessage = {
		id: ++lastId, method: request.method, path: request.url, bodyBase64: body.toString('base64'),
	};
	waiting.set(message.id, response);
	upstream.write(encodeFrame(JSON.stringify(message)));
}

upstream.on('data', chunk => {
	for (const frame of decoder.push(chunk)) {
		const {id, status = 500, bodyBase64} = JSON.parse(frame.json) as FloorMessage;
		const body = Buffer.from(bodyBase64, 'base64');
		const response = waiting.get(id);
		waiting.delete(id);
		response?.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
		response?.end(body);
	}
});

const server = createServer((request, response) => {
	void serve(request, response);
});
server.listen(0, '127.0.0.1');
await once(server, 'listening');
console.log(JSON.stringify({ready: true, port: (server.address() as AddressInfo).port}));
