import {type Kernel} from '../../src/platform/kernel/kernel.js';

/** Decisions that the bench can replace by a simpler form, by name. */
export const simplerForms: ReadonlyMap<string, (kernel: Kernel) => void> = new Map();
