import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {LoopbackBackendService} from '../../src/services/backend/loopback-backend-service.js';
import {type BackendAnnouncement} from '../../src/services/membership/backend-announcement.js';
import {type Event} from '../../src/base/event.js';

/** Naive variant of draining: ignores that a backend server announces it, as its health checks still pass. */
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
