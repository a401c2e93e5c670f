// Upstream program of the floor: receives framed TCP and forwards over HTTP to the backend server. Argument: port of the backend server.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {Pool} from 'undici';
import {encodeFrame} from '../../src/runtime/peer/encode-frame.js';
import {FrameDecoder} from '../../src/runtime/peer/frame-decoder.js';
import {type FloorMessage} from './floor-message.js';

const maxFrameBytes = 4_194_304;
const pool = new Pool(`http://127.0.0.1:${process.argv[2]}`, {connections: 64});

async function answer(message: FloorMessage, socket: Socket): Promise<void> {
	const {statusCode, body} = await pool.request({
		method: message.method as 'GET', path: message.path ?? '/', body: message.bodyBase64 === '' ? undefined : Buffer.from(message.bodyBase64, 'base64'),
	});
	const bytes = Buffer.from(await body.arrayBuffer());
	const reply: FloorMessage = {id: message.id, status: statusCode, bodyBase64: bytes.toString('base64')};
	socket.write(encodeFrame(JSON.stringify(reply)));
}

const server = createServer({noDelay: true}, socket => {
	const decoder = new FrameDecoder(maxFrameBytes);
	socket.on('data', chunk => {
		for (const frame of decoder.push(chunk)) {
			void answer(JSON.parse(frame.json) as FloorMessage, socket);
		}
	});
});
server.listen(0, '127.0.0.1');
await once(server, 'listening');
console.log(JSON.stringify({ready: true, port: (server.address() as AddressInfo).port}));
