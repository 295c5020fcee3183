#pragma once

namespace guavavalve {

class HttpServer;
class Metrics;
class Readiness;

/// Adds the routes GET /healthz (200 whenever the process responds), /readyz (200, or 503 with the
/// reasons) and /metrics. \a readiness and \a metrics must outlive \a server.
void addServiceRoutes(HttpServer &server, const Readiness &readiness, Metrics &metrics);

} // namespace guavavalve
