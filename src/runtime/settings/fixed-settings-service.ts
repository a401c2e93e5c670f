import {v7 as uuidv7} from 'uuid';
import {type NodeSettings} from './node-settings.js';
import {type SettingsService} from './settings-service.js';

/** Settings that stay the same during an incarnation of the node. */
export class FixedSettingsService implements SettingsService {
	constructor(readonly settings: NodeSettings, readonly incarnation: string = uuidv7()) {}
}
