/** @module One test for each rule of `ebonysill config check`. */
import { test } from 'node:test';
import { expect } from 'earl';
import { RuleName } from '../src/index.js';
import { check, checkText, compare, type Published } from './check-text.js';

const LOOKUP = {
  name: 'lookup',
  host: 'app.example',
  'path-prefix': '/lookup/',
  kind: 'idempotent',
  service: 'plain',
  'timeout-ms': 2_500,
  'target-latency-ms': 500,
  'max-attempts': 2,
};

const STREAM = {
  name: 'stream',
  host: 'app.example',
  'path-prefix': '/stream/',
  kind: 'streaming',
  service: 'model',
  'timeout-ms': 8_000,
  'target-latency-ms': 500,
  'target-gap-ms': 120,
};

/** Passes of 40 ms; the usual prompt is read in 100 ms, the usual answer written in 1,000 ms. */
const ENGINE = {
  slots: 4,
  'steps-per-pass': 4,
  step_ms: 10,
  read_per_s: 5_000,
  usual: { prompt: 500, answer: 100 },
  'kv-cache-tokens': 100_000,
};

const MODEL = { name: 'model', 'inference-engine': ENGINE };

const LIMITS = {
  'max-header-bytes': 16_384,
  'max-body-bytes': 65_536,
  'header-timeout-ms': 3_000,
  'idle-timeout-ms': 15_000,
};

const SOUND: Published = {
  version: 7,
  routes: [LOOKUP, STREAM],
  services: [{ name: 'plain', 'cold-per-s': 2 }, MODEL],
  tenants: [
    { name: 'org-1', 'api-keys': ['key-1', 'key-2'] },
    { name: 'org-2', 'api-keys': ['key-3'], priority: 2 },
  ],
  limits: LIMITS,
};

const withLookup = (fields: object): Published => ({
  ...SOUND,
  routes: [{ ...LOOKUP, ...fields }, STREAM],
});

const withStream = (fields: object): Published => ({
  ...SOUND,
  routes: [LOOKUP, { ...STREAM, ...fields }],
});

const withSplit = (weights: readonly number[]): Published => {
  const { service, ...route } = LOOKUP;
  const split = weights.map((weight) => ({ service: 'plain', weight }));
  return { ...SOUND, routes: [{ ...route, 'traffic-split': split }, STREAM] };
};

const withPlain = (fields: object): Published => ({
  ...SOUND,
  services: [{ name: 'plain', ...fields }, MODEL],
});

const withEngine = (fields: object): Published => ({
  ...SOUND,
  services: [SOUND.services[0] ?? {}, { ...MODEL, 'inference-engine': { ...ENGINE, ...fields } }],
});

const withTenants = (...tenants: readonly object[]): Published => ({ ...SOUND, tenants });

const withoutTenants = (): Published => {
  const { tenants, ...rest } = SOUND;
  return rest;
};

test('a sound configuration has no findings', () => {
  expect(check(SOUND)).toEqual([]);
  expect(compare(SOUND, SOUND)).toEqual([]);
});

test('repeated field', () => {
  const text = JSON.stringify(SOUND).replace(
    '"max-attempts":2',
    '"max-attempts":1,"max-attempts":2',
  );
  const [finding] = checkText(text).findings;
  expect(finding?.rule).toEqual(RuleName.RepeatedField);
  expect(finding?.path).toEqual(['routes', 0, 'max-attempts']);
  // The last one counts, so it is the one to point at.
  expect(finding?.column).toEqual(text.lastIndexOf('"max-attempts"') + 1);
});

test('mistyped field', () => {
  expect(check(withLookup({ 'timeout-ms': '2500' }))).toEqual([
    'error invalid-field routes[0].timeout-ms',
  ]);
});

test('missing field', () => {
  const { host, ...route } = LOOKUP;
  const report = checkText(JSON.stringify({ ...SOUND, routes: [route] }));
  expect(report.findings.map(({ text }) => text)).toEqual([
    'expected string, but the field is missing',
  ]);
  expect(report.isDecoded).toEqual(false);
});

test('unknown field at each level', () => {
  const next = { ...withEngine({ 'step-ms': 1 }), route: [] };
  expect(check(next)).toEqual([
    'warning unknown-field services[1].inference-engine.step-ms',
    'warning unknown-field route',
  ]);
});

test('ignored field', () => {
  expect(check(withEngine({ chunk: '512', usual: { prompt: 0, answer: 1 } }))).toEqual([
    'warning ignored-field services[1].inference-engine.usual.prompt',
    'warning ignored-field services[1].inference-engine.chunk',
  ]);
});

test('service beside a traffic split', () => {
  const split = [{ service: 'plain', weight: 1 }];
  expect(check(withLookup({ 'traffic-split': split }))).toEqual([
    'warning ignored-field routes[0].service',
  ]);
});

test('version that gateways never apply', () => {
  [0, -1, 1.5].forEach((version) => {
    expect(check({ ...SOUND, version })).toEqual(['error invalid-version version']);
  });
});

test('host that no request has', () => {
  ['', 'app.example:80', '*.example', 'http://app.example'].forEach((host) => {
    expect(check(withLookup({ host }))).toEqual(['error unmatched-host routes[0].host']);
  });
  expect(check(withLookup({ host: '[::1]' }))).toEqual([]);
});

test('prefix that no request has', () => {
  ['lookup/', '/a b', '/a#b'].forEach((prefix) => {
    expect(check(withLookup({ 'path-prefix': prefix }))).toEqual([
      'error unmatched-prefix routes[0].path-prefix',
    ]);
  });
  expect(check(withLookup({ 'path-prefix': '' }))).toEqual([]);
});

test('route hidden by one with the same host and prefix', () => {
  const hidden = { ...LOOKUP, name: 'other', host: 'APP.example' };
  expect(check({ ...SOUND, routes: [LOOKUP, STREAM, hidden] })).toEqual([
    'error hidden-route routes[2].path-prefix',
  ]);
});

test('shorter prefix hides no longer one', () => {
  const short = { ...LOOKUP, name: 'all', 'path-prefix': '/' };
  expect(check({ ...SOUND, routes: [short, LOOKUP, STREAM] })).toEqual([]);
});

test('route without service', () => {
  expect(check(withSplit([]))).toEqual([
    'error route-without-service routes[0].traffic-split',
    'warning service-without-route services[0].name',
  ]);
  expect(check(withLookup({ service: '' }))[0]).toEqual(
    'error route-without-service routes[0].service',
  );
});

test('split with an empty service', () => {
  const split = [
    { service: 'plain', weight: 1 },
    { service: '', weight: 1 },
  ];
  expect(check(withLookup({ service: undefined, 'traffic-split': split }))).toEqual([
    'warning unknown-service routes[0].traffic-split[1].service',
  ]);
});

test('service that is not listed', () => {
  expect(check(withLookup({ service: 'plane' }))).toEqual([
    'warning unknown-service routes[0].service',
    'warning service-without-route services[0].name',
  ]);
});

test('weights of 0 and below', () => {
  expect(check(withSplit([1, 0]))).toEqual([
    'warning split-weight routes[0].traffic-split[1].weight',
  ]);
  expect(check(withSplit([0, 0]))).toEqual(['error split-weight routes[0].traffic-split']);
  expect(check(withSplit([2, -1]))).toEqual([
    'error split-weight routes[0].traffic-split[1].weight',
  ]);
});

test('service without route', () => {
  expect(check({ ...SOUND, services: [...SOUND.services, { name: 'spare' }] })).toEqual([
    'warning service-without-route services[2].name',
  ]);
});

test('repeated names', () => {
  const routes = [LOOKUP, { ...STREAM, name: 'lookup' }];
  expect(check({ ...SOUND, routes })).toEqual(['warning repeated-name routes[1].name']);
  expect(check({ ...SOUND, services: [...SOUND.services, MODEL] })).toEqual([
    'error repeated-name services[2].name',
  ]);
  const tenants = [
    { name: 'org-1', 'api-keys': ['key-1'] },
    { name: 'org-1', 'api-keys': ['key-2'] },
  ];
  expect(check(withTenants(...tenants))).toEqual(['warning repeated-name tenants[1].name']);
});

test('credential listed twice', () => {
  const first = { name: 'org-1', 'api-keys': ['key-1', 'key-1'] };
  const second = { name: 'org-2', 'api-keys': ['key-1'] };
  expect(check(withTenants(first, second))).toEqual([
    'warning repeated-credential tenants[0].api-keys[1]',
    'error repeated-credential tenants[1].api-keys[0]',
  ]);
});

test('empty credential', () => {
  expect(check(withTenants({ name: 'org-1', 'api-keys': ['key-1', ''] }))).toEqual([
    'error empty-credential tenants[0].api-keys[1]',
  ]);
});

test('no credential for routes that need one', () => {
  expect(check(withTenants())).toEqual(['warning no-credentials tenants']);
  expect(check(withTenants({ name: 'org-1', 'api-keys': [] }))).toEqual([
    'warning no-credentials tenants',
  ]);
  expect(check(withoutTenants())).toEqual([]);
});

test('texts contain no credential', () => {
  const secret = 'secret-credential';
  const next = withTenants(
    { name: 'org-1', 'api-keys': [secret, secret, `${secret}-2`] },
    { name: 'org-2', 'api-keys': [secret] },
  );
  const base = withTenants({ name: 'org-3', 'api-keys': [secret, `${secret}-3`] });
  const report = checkText(JSON.stringify(next), JSON.stringify(base));
  expect(report.findings.filter(({ text }) => text.includes(secret))).toEqual([]);
});

test('stream-only fields on another route', () => {
  expect(check(withLookup({ 'target-gap-ms': 100, 'stream-resumption': true }))).toEqual([
    'warning stream-only-field routes[0].target-gap-ms',
    'warning stream-only-field routes[0].stream-resumption',
  ]);
});

test('timeout of 0', () => {
  expect(check(withLookup({ 'timeout-ms': 0, 'target-latency-ms': 0 }))).toEqual([
    'error timeout routes[0].timeout-ms',
  ]);
});

test('attempts that are no positive integer', () => {
  [0, -1, 1.5].forEach((attempts) => {
    expect(check(withLookup({ 'max-attempts': attempts }))).toEqual([
      'warning attempts routes[0].max-attempts',
    ]);
  });
});

test('priority that targets do not accept', () => {
  expect(check(withLookup({ priority: 10 }))).toEqual(['warning priority routes[0].priority']);
  expect(check(withTenants({ name: 'org-1', 'api-keys': ['key-1'], priority: -1 }))).toEqual([
    'warning priority tenants[0].priority',
  ]);
});

test('objective over timeout', () => {
  expect(check(withLookup({ 'target-latency-ms': 2_501 }))).toEqual([
    'warning objective-over-timeout routes[0].target-latency-ms',
  ]);
  expect(check(withStream({ 'target-gap-ms': 8_001 }))).toEqual([
    'warning objective-over-timeout routes[1].target-gap-ms',
  ]);
});

test('timeout under the engine', () => {
  expect(check(withStream({ 'timeout-ms': 1_099 }))).toEqual([
    'warning timeout-under-engine routes[1].timeout-ms',
  ]);
  expect(check(withStream({ 'timeout-ms': 1_100 }))).toEqual([]);
});

test('objective under the engine', () => {
  expect(check(withStream({ 'target-latency-ms': 139 }))).toEqual([
    'warning objective-under-engine routes[1].target-latency-ms',
  ]);
  expect(check(withStream({ 'target-latency-ms': 140 }))).toEqual([]);
});

test('pause under the engine', () => {
  expect(check(withStream({ 'target-gap-ms': 57 }))).toEqual([
    'warning pause-under-engine routes[1].target-gap-ms',
  ]);
  expect(check(withStream({ 'target-gap-ms': 58 }))).toEqual([]);
});

test('engine profile that no engine has', () => {
  expect(check(withEngine({ slots: 0, per_seq_ms: -1 }))).toEqual([
    'error engine-profile services[1].inference-engine.slots',
    'error engine-profile services[1].inference-engine.per_seq_ms',
  ]);
});

test('engine memory under its slots', () => {
  expect(check(withEngine({ 'kv-cache-tokens': 2_399 }))).toEqual([
    'warning engine-memory services[1].inference-engine.kv-cache-tokens',
  ]);
  expect(check(withEngine({ 'kv-cache-tokens': 2_400 }))).toEqual([]);
});

test('cold limit that cannot be kept or has no effect', () => {
  [-1, 0.5].forEach((limit) => {
    expect(check(withPlain({ 'cold-per-s': limit }))).toEqual([
      'warning cold-limit services[0].cold-per-s',
    ]);
  });
  const services = [{ name: 'plain' }, { ...MODEL, 'cold-per-s': 4 }];
  expect(check({ ...SOUND, services })).toEqual(['warning cold-limit services[1].cold-per-s']);
});

test('limits of callers', () => {
  const limits = { ...LIMITS, 'max-header-bytes': 16_385, 'idle-timeout-ms': 0 };
  expect(check({ ...SOUND, limits })).toEqual([
    'warning caller-limits limits.max-header-bytes',
    'error caller-limits limits.idle-timeout-ms',
  ]);
});

test('version that is not higher', () => {
  const text = JSON.stringify(SOUND);
  expect(checkText(text, text).findings.map(({ rule }) => rule)).toEqual([
    RuleName.VersionNotHigher,
  ]);
});

test('added route', () => {
  const added = { ...LOOKUP, name: 'new', 'path-prefix': '/lookup/new/' };
  const next = { ...SOUND, version: 8, routes: [LOOKUP, STREAM, added] };
  const [finding] = checkText(JSON.stringify(next), JSON.stringify(SOUND)).findings;
  expect(finding?.rule).toEqual(RuleName.RouteAdded);
  expect(finding?.text).toEqual(
    'requests to "app.example/lookup/new/" go to "plain"; before, they matched route "lookup"',
  );
});

test('removed route', () => {
  expect(compare({ ...SOUND, routes: [STREAM], services: [MODEL] }, SOUND)).toEqual([
    'difference route-removed routes[0]',
    'difference service-changed services[0]',
  ]);
});

test('changed route', () => {
  const next = withLookup({
    kind: 'non_idempotent',
    'timeout-ms': 3_000,
    'target-latency-ms': 600,
    'max-attempts': 3,
    priority: 1,
  });
  expect(compare(next, SOUND)).toEqual([
    'difference route-changed routes[0].kind',
    'difference route-changed routes[0].timeout-ms',
    'difference route-changed routes[0].target-latency-ms',
    'difference route-changed routes[0].max-attempts',
    'difference route-changed routes[0].priority',
  ]);
  expect(compare(withStream({ 'stream-resumption': true }), SOUND)).toEqual([
    'difference route-changed routes[1].stream-resumption',
  ]);
  expect(compare(withSplit([1, 1]), withSplit([2, 1]))).toEqual([
    'difference route-changed routes[0].traffic-split',
  ]);
});

test('route that anyone can call from now on', () => {
  expect(compare(withLookup({ public: true }), SOUND)).toEqual([
    'warning route-opened routes[0].public',
  ]);
  expect(compare(SOUND, SOUND)).toEqual([]);
});

test('new route that anyone can call', () => {
  const added = { ...LOOKUP, name: 'new', 'path-prefix': '/new/', public: true };
  expect(compare({ ...SOUND, routes: [LOOKUP, STREAM, added] }, SOUND)).toEqual([
    'difference route-added routes[2]',
    'warning route-opened routes[2].public',
  ]);
});

test('removed route behind which anyone can call', () => {
  const all = { ...STREAM, name: 'all', 'path-prefix': '/', service: 'plain', public: true };
  const base = { ...SOUND, routes: [LOOKUP, STREAM, all] };
  const next = { ...SOUND, routes: [STREAM, all] };
  expect(compare(next, base)).toEqual([
    'difference route-removed routes[0]',
    'warning route-opened routes[0]',
  ]);
});

test('organisations that are no longer listed open all routes', () => {
  expect(compare(withoutTenants(), SOUND)).toEqual(['warning route-opened tenants']);
});

test('new route without organisations', () => {
  const added = { ...LOOKUP, name: 'new', 'path-prefix': '/new/' };
  const base = withoutTenants();
  expect(compare({ ...base, routes: [LOOKUP, STREAM, added] }, base)).toEqual([
    'difference route-added routes[2]',
    'warning route-opened routes[2]',
  ]);
});

test('route that needs a credential from now on', () => {
  expect(compare(SOUND, withLookup({ public: true }))).toEqual([
    'difference route-closed routes[0].public',
  ]);
  expect(compare(SOUND, withoutTenants())).toEqual([
    'difference route-closed tenants',
    'difference credentials-added tenants[0].api-keys',
    'difference credentials-added tenants[1].api-keys',
  ]);
});

test('removed credentials', () => {
  const next = withTenants({ name: 'org-1', 'api-keys': ['key-1'] });
  const report = checkText(JSON.stringify({ ...next, version: 8 }), JSON.stringify(SOUND));
  expect(report.findings.map(({ severity, text }) => `${severity}: ${text}`)).toEqual([
    'warning: organisation "org-1" loses 1 credential; callers with them get 401',
    'warning: organisation "org-2" loses 1 credential and has none left; callers with them get 401',
  ]);
});

test('moved credential', () => {
  const next = withTenants(
    { name: 'org-1', 'api-keys': ['key-1', 'key-2', 'key-3'] },
    { name: 'org-2', 'api-keys': ['key-4'], priority: 2 },
  );
  expect(compare(next, SOUND)).toEqual([
    'warning credential-moved tenants[0].api-keys[2]',
    'difference credentials-added tenants[1].api-keys',
  ]);
});

test('priority of an organisation', () => {
  const [first] = SOUND.tenants ?? [];
  expect(
    compare(withTenants(first ?? {}, { name: 'org-2', 'api-keys': ['key-3'] }), SOUND),
  ).toEqual(['difference organisation-priority tenants[1].priority']);
});

test('changed service', () => {
  expect(compare(withPlain({ 'cold-per-s': 3 }), SOUND)).toEqual([
    'difference service-changed services[0].cold-per-s',
  ]);
  expect(compare(withEngine({ step_ms: 11 }), SOUND)).toEqual([
    'difference service-changed services[1].inference-engine.step_ms',
  ]);
});

test('changed limit', () => {
  const limits = { ...LIMITS, 'max-body-bytes': 1_024 };
  expect(compare({ ...SOUND, limits }, SOUND)).toEqual([
    'difference limit-changed limits.max-body-bytes',
  ]);
});

test('findings beyond the maximum of a rule are counted', () => {
  const fields = Object.fromEntries(Array.from({ length: 60 }, (_, index) => [`x${index}`, 1]));
  const report = checkText(JSON.stringify({ ...SOUND, ...fields }));
  expect([report.findings.length, report.omittedCount]).toEqual([50, 10]);
});
