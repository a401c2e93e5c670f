import {type Event} from '../../base/event.js';
import {createServiceId} from '../kernel/create-service-id.js';
import {type RelaySettings} from './relay-settings.js';

/** The relay settings in force, which may change while the node runs. */
export interface RelaySettingsService {
	readonly relay: RelaySettings;
	readonly onDidChange: Event<RelaySettings>;
}

export const RelaySettingsService = createServiceId<RelaySettingsService>('relay-settings');
