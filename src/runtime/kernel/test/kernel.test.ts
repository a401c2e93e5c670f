import test from 'ava';
import {createServiceId} from '../create-service-id.js';
import {Kernel} from '../kernel.js';

interface Greeter {
	greet(): string;
}

const greeterId = createServiceId<Greeter>('greeter');
const hostId = createServiceId<Host>('host');

class PoliteGreeter implements Greeter {
	greet(): string {
		return 'good day';
	}
}

class Host {
	constructor(@greeterId private readonly greeter: Greeter) {}

	welcome(): string {
		return this.greeter.greet();
	}
}

test('a service is injected by name', t => {
	const kernel = new Kernel().register(greeterId, PoliteGreeter).register(hostId, Host);
	t.is(kernel.get(hostId).welcome(), 'good day');
});

test('the error for a missing service names it', t => {
	const kernel = new Kernel().register(hostId, Host);
	t.throws(() => kernel.get(hostId), {message: /greeter is not registered/});
});

test('a class without a constructor receives the services of its base class', t => {
	class LoudHost extends Host {
		override welcome(): string {
			return super.welcome().toUpperCase();
		}
	}

	const kernel = new Kernel().register(greeterId, PoliteGreeter).register(hostId, LoudHost);
	t.is(kernel.get(hostId).welcome(), 'GOOD DAY');
});
