import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type RelaySettings} from '../../runtime/settings/relay-settings.js';
import {type RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';

/** The relay settings from the platform's settings file, replaced when the file is read again. */
export class PlatformSettingsService implements RelaySettingsService, Disposable {
	readonly onDidChange;
	private readonly emitter = new Emitter<RelaySettings>();

	constructor(private current: RelaySettings) {
		this.onDidChange = this.emitter.event;
	}

	get relay(): RelaySettings {
		return this.current;
	}

	/** Replaces the settings that may change while a node runs. */
	replace(settings: RelaySettings): void {
		if (JSON.stringify(settings) !== JSON.stringify(this.current)) {
			this.current = settings;
			this.emitter.fire(settings);
		}
	}

	dispose(): void {
		this.emitter.dispose();
	}
}
