import {z} from 'zod';

const revision = z.number().int().min(0);

const item = z.object({
	key: z.string(),
	/** The bytes in base64. */
	value: z.string(),
	/** Revision of the item's last change. */
	rev: revision,
	/** 0 if the item has no lease. */
	lease: z.number().int().default(0),
});

/** `at` is the revision of the store, not of the item. */
const itemAnswer = item.extend({at: revision});

const listAnswer = z.object({items: z.array(item), hasMore: z.boolean(), at: revision});

/** An event holds either the written item or the key and revision of a deletion. */
const event = z.union([
	z.object({key: z.string(), rev: revision, deleted: z.literal(true)}),
	item,
]);

const watchAnswer = z.object({events: z.array(event), at: revision});

const swapAnswer = z.object({rev: revision});

/** The current state of the keys whose revisions differ from the expected ones; a missing key is left out or has revision 0. */
const conflictAnswer = z.object({
	items: z.array(z.object({
		key: z.string(), value: z.string().default(''), rev: revision.default(0), lease: z.number().int().default(0),
	})),
});

const leaseAnswer = z.object({lease: z.number().int()});

/** Schemas of the answers of the platform's store. */
export const kvMessages = {
	item: itemAnswer, list: listAnswer, watch: watchAnswer, swap: swapAnswer, conflict: conflictAnswer, lease: leaseAnswer, event,
};
