import { test } from 'node:test';
import { expect } from 'earl';
import { Kernel, createInstance, startOrder, type ServiceRegistration } from '../src/index.js';

interface Names {
  readonly first: string;
  readonly second: string;
}

type Registration = ServiceRegistration<Names, string, string>;

const second: Registration = {
  name: 'second',
  requires: ['first'],
  create: (find) => {
    const found = find('first');
    return createInstance('api of second', {
      start: () => ['second starts'],
      handle: (event) => [`second handles ${event} with ${found}`],
      drain: () => ['second drains'],
    });
  },
};

const createFirst = (isDrained: () => boolean): Registration => ({
  name: 'first',
  requires: [],
  create: () =>
    createInstance('api of first', {
      start: () => ['first starts'],
      handle: (event) => [`first handles ${event}`],
      drain: () => ['first drains'],
      isDrained,
    }),
});

interface Run {
  readonly kernel: Kernel<Names, string, string>;
  readonly performed: string[];
}

const startKernel = (services: readonly Registration[]): Run => {
  const performed: string[] = [];
  const kernel = Kernel.create<Names, string, string>({
    services,
    nowMs: () => 0,
    perform: (effect) => performed.push(effect),
    onDrained: () => performed.push('drained'),
    onFatalError: (error) => performed.push(String(error)),
  });
  kernel.start();
  return { kernel, performed };
};

test('services start in dependency order', () => {
  expect(startKernel([second, createFirst(() => true)]).performed).toEqual([
    'first starts',
    'second starts',
  ]);
});

test('every service handles each event, in start order', () => {
  const { kernel, performed } = startKernel([second, createFirst(() => true)]);
  kernel.post('hello');
  expect(performed.slice(2)).toEqual([
    'first handles hello',
    'second handles hello with api of first',
  ]);
});

test('drains in reverse order, waiting for each service', () => {
  let isDrained = false;
  const { kernel, performed } = startKernel([second, createFirst(() => isDrained)]);
  kernel.drain();
  expect(performed.slice(2)).toEqual(['second drains', 'first drains']);
  isDrained = true;
  kernel.post('done');
  expect(performed.at(-1)).toEqual('drained');
});

test('find returns the API of the named service', () => {
  expect(startKernel([createFirst(() => true), second]).kernel.find('second')).toEqual(
    'api of second',
  );
});

test('find throws for a service not in requires', () => {
  const undeclared: Registration = { ...second, requires: [] };
  expect(() => startKernel([createFirst(() => true), undeclared])).toThrow('does not require');
});

test('create throws if a required service is missing', () => {
  expect(() => startKernel([second])).toThrow('required but not registered');
});

test('startOrder throws on a dependency cycle', () => {
  expect(() =>
    startOrder([
      { name: 'a', requires: ['b'] },
      { name: 'b', requires: ['a'] },
    ]),
  ).toThrow('cycle');
});

test('an error in a handler is reported once and stops events', () => {
  const handle = (): never => {
    throw new Error('broken');
  };
  const broken = {
    ...createFirst(() => true),
    create: () => createInstance<string, string, string>('', { handle }),
  };
  const { kernel, performed } = startKernel([broken]);
  kernel.post('event');
  kernel.post('event after');
  expect(performed).toEqual(['Error: broken']);
});
