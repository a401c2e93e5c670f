import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {LoopbackBackendService} from '../../src/services/backend/loopback-backend-service.js';
import {type BackendAnnouncement} from '../../src/services/membership/backend-announcement.js';
import {type Event} from '../../src/base/event.js';

/** Takes a backend server that still answers its health checks for one that wants work. */
export class HealthBelievingBackendService extends LoopbackBackendService {
	override get announcement(): BackendAnnouncement | undefined {
		return asHealthy(super.announcement);
	}

	override get onDidAnnounce(): Event<BackendAnnouncement | undefined> {
		return listener => super.onDidAnnounce(announcement => {
			listener(asHealthy(announcement));
		});
	}
}

serviceDependencies.set(HealthBelievingBackendService, serviceDependencies.get(LoopbackBackendService)!);

function asHealthy(announcement: BackendAnnouncement | undefined): BackendAnnouncement | undefined {
	return announcement && {...announcement, draining: false};
}
