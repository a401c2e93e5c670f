import {type GraphPlan} from '../../standins/graph/graph-plan.js';
import {ProcessGraph} from '../../standins/graph/process-graph.js';
import {History} from '../history/history.js';
import {AttemptSender} from './attempt-sender.js';
import {recordExecutions} from './record-executions.js';
import {SeededChoices} from './seeded-choices.js';

/** Base class of runs of a graph of separate processes whose history is recorded; subclasses provide load and faults. */
export abstract class RecordedRun {
	protected readonly history = new History();
	protected readonly choices: SeededChoices;
	protected readonly graph: ProcessGraph;
	protected readonly sender: AttemptSender;

	constructor(plan: GraphPlan) {
		this.choices = new SeededChoices(plan.seed);
		const nodes = plan.nodes.map(node => ({...node, backendFlags: ['--print-history']}));
		this.graph = new ProcessGraph({...plan, nodes});
		this.sender = new AttemptSender(this.graph, this.history);
		recordExecutions(this.graph, this.history);
	}

	/** Runs the graph until load and faults have ended, and returns the history. */
	async run(): Promise<History> {
		try {
			await this.graph.start();
			await this.drive();
		} finally {
			await this.sender.dispose();
			await this.graph.dispose();
		}

		return this.history;
	}

	/** Generates load and faults; called when all processes have started. */
	protected abstract drive(): Promise<void>;
}
