import {z} from 'zod';

const hostPort = z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'must be IP:PORT');
const port = z.number().int().min(1).max(65_535);

/** The parts of the platform's settings file that are used; unknown fields are ignored. */
export const settingsDocument = z.object({
	/** Name of the VM. */
	node: z.string().min(1),
	ip: z.string().min(1),
	zone: z.string().min(1),
	region: z.string().default(''),
	/** First and last port for connections between nodes. */
	portRange: z.tuple([port, port]),
	/** Control addresses of some VMs; they may be outdated or unreachable. */
	seedAddrs: z.array(hostPort).max(3).default([]),
	/** Seconds between two reports of a backend server. */
	beatS: z.number().positive().default(1.5),
	/** Numeric parameters as `name=value`. */
	bounds: z.array(z.string()).default([]),
	/** Address of the VM's backend server. */
	appAddr: hostPort,
	/** Service of the VM's backend server. */
	service: z.string().min(1),
	listen: z.object({
		outbound: hostPort,
		ready: hostPort,
		control: hostPort,
	}),
	/** Only the platform's key-value store. */
	platform: z.object({
		address: hostPort,
		/** Shortest time to live of a lease. */
		minTtlS: z.number().positive().default(1),
	}),
});
