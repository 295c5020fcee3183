#pragma once

namespace guavavalve {

class HttpServer;
class Metrics;
class Readiness;

/// Serves GET /healthz (200 while the process answers), /readyz (200, or 503 with the reasons)
/// and /metrics. Both objects must outlive \a server.
void addServiceRoutes(HttpServer &server, const Readiness &readiness, Metrics &metrics);

} // namespace guavavalve
