import {type MeshAction} from './mesh-action.js';

/** One step of a schedule. */
export type MeshStep = {
	readonly action: MeshAction;
	readonly atMs: number;
	readonly durationMs: number;
	/** Index of the node; for a cut, the node at one end. */
	readonly node: number;
	/** Index of the node at the other end of a cut, or of the id that is sent. */
	readonly other: number;
};
