import {createServiceId} from '../kernel/create-service-id.js';
import {type NodeSettings} from './node-settings.js';

/** The node's settings, as a service that others ask for. */
export interface SettingsService {
	readonly settings: NodeSettings;
	/** Identity of this run of the node: a UUIDv7 minted at its start. */
	readonly incarnation: string;
}

export const SettingsService = createServiceId<SettingsService>('settings');
