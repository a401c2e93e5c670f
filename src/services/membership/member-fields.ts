import {z} from 'zod';

const maxNameLength = 64;
const maxPort = 65_535;

/** Types of the fields of member records. Registrations and datagrams share them, so that whatever a node accepts it can also broadcast. */
export const memberFields = {
	name: z.string().min(1).max(maxNameLength),
	optionalName: z.string().max(maxNameLength),
	count: z.number().int().min(0),
	port: z.number().int().min(0).max(maxPort),
};
