import {subcommands} from 'cmd-ts';
import {policyDiffCommand} from './policy-diff-command.js';
import {policyHistoryCommand} from './policy-history-command.js';
import {policyInitCommand} from './policy-init-command.js';
import {policyPatchCommand} from './policy-patch-command.js';
import {policyRestoreCommand} from './policy-restore-command.js';
import {policyShowCommand} from './policy-show-command.js';
import {policyValidateCommand} from './policy-validate-command.js';
import {policyWaitCommand} from './policy-wait-command.js';

/** `kumquatline policy …`. */
export const policyCommand = subcommands({
	name: 'policy',
	description: 'Read the policy, change it with patches that are based on a version, and wait until a version is in force',
	cmds: {
		init: policyInitCommand,
		show: policyShowCommand,
		validate: policyValidateCommand,
		diff: policyDiffCommand,
		patch: policyPatchCommand,
		history: policyHistoryCommand,
		wait: policyWaitCommand,
		restore: policyRestoreCommand,
	},
});
