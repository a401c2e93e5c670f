import {z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';

enum AnnouncedState {
	Serving = 'serving',
	Draining = 'draining',
	Stopped = 'stopped',
}

const announcementBody = z.strictObject({
	service: z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v),
	port: z.number().int().min(1).max(65_535),
	slots: z.number().int().min(1).max(1_000_000),
	connections: z.number().int().min(1).max(1_000_000),
	state: z.enum(AnnouncedState),
});

/** Time without an announcement after which a backend server is considered to have departed; it announces itself every 2 s. */
const silenceMs = 6000;

/** Keeps the latest announcement of the VM's backend server until the announcements stop. */
export class AnnouncementTracker implements Disposable {
	private readonly emitter = new Emitter<BackendAnnouncement | undefined>();
	private latest: BackendAnnouncement | undefined;
	private timer: NodeJS.Timeout | undefined;

	get current(): BackendAnnouncement | undefined {
		return this.latest;
	}

	get onDidChange(): Event<BackendAnnouncement | undefined> {
		return this.emitter.event;
	}

	/** Parses and applies an announcement; throws `bad-request` if it is malformed. */
	update(text: string): void {
		const {state, ...announced} = parse(text);
		clearTimeout(this.timer);
		if (state === AnnouncedState.Stopped) {
			this.set(undefined);
			return;
		}

		this.timer = setTimeout(() => {
			this.set(undefined);
		}, silenceMs);
		this.set({...announced, draining: state === AnnouncedState.Draining});
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.emitter.dispose();
	}

	private set(announcement: BackendAnnouncement | undefined): void {
		const changed = JSON.stringify(announcement) !== JSON.stringify(this.latest);
		this.latest = announcement;
		if (changed) {
			this.emitter.fire(announcement);
		}
	}
}

function parse(text: string): z.infer<typeof announcementBody> {
	try {
		return announcementBody.parse(JSON.parse(text));
	} catch (error) {
		throw new KumquatlineError(ErrorKind.BadRequest, 'malformed announcement', {started: false, cause: error});
	}
}
