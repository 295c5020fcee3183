#pragma once

namespace guavavalve {

class CellController;
class Messenger;
class OperatorClient;

/// Registers the entries' calls to \a controller with \a messenger; operators' questions go to
/// \a operators. Done before the messenger starts; both must outlive it.
void serveController(Messenger &messenger, CellController &controller, OperatorClient &operators);

} // namespace guavavalve
