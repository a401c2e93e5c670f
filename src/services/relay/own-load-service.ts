import {type Disposable} from '../../base/disposable.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** Whether this node itself keeps up with its work, whatever the backend servers do. */
export interface OwnLoadService extends Disposable {
	/** Least rank that the node takes at present; 0 while it keeps up. */
	readonly threshold: number;
}

export const OwnLoadService = createServiceId<OwnLoadService>('own-load');
