import {serviceDependencies} from '../../src/runtime/kernel/service-dependencies.js';
import {LoopbackBackendService} from '../../src/services/backend/loopback-backend-service.js';
import {type BackendAnnouncement} from '../../src/services/membership/backend-announcement.js';
import {type Event} from '../../src/base/event.js';

/** Naive variant of draining: ignores that a backend server announces it, as its health checks still pass. */
export class DrainIgnoringBackendService extends LoopbackBackendService {
	override get announcement(): BackendAnnouncement | undefined {
		return withoutDraining(super.announcement);
	}

	override get onDidAnnounce(): Event<BackendAnnouncement | undefined> {
		return listener => super.onDidAnnounce(announcement => {
			listener(withoutDraining(announcement));
		});
	}
}

serviceDependencies.set(DrainIgnoringBackendService, serviceDependencies.get(LoopbackBackendService)!);

function withoutDraining(announcement: BackendAnnouncement | undefined): BackendAnnouncement | undefined {
	return announcement && {...announcement, draining: false};
}
