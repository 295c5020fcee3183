#pragma once

namespace guavavalve {

class CellController;
class Messenger;
class OperatorClient;

/// Registers handlers with \a messenger that pass entries' requests to \a controller and operators'
/// requests to \a operators. To be called before the messenger starts; both must outlive it.
void serveController(Messenger &messenger, CellController &controller, OperatorClient &operators);

} // namespace guavavalve
