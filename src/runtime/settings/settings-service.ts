import {createServiceId} from '../kernel/create-service-id.js';
import {type NodeSettings} from './node-settings.js';

/** Provides the node's settings to other services. */
export interface SettingsService {
	readonly settings: NodeSettings;
	/** Id of this incarnation of the node: a UUIDv7 created at startup. */
	readonly incarnation: string;
}

export const SettingsService = createServiceId<SettingsService>('settings');
