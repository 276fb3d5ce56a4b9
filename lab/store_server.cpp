#include "store_server.h"

namespace bendtide::lab {

StoreServer::StoreServer(Laboratory& lab) : lab_(lab), store_(lab.settings) {
  for (int i = 0; i < kControllerCount; ++i) {
    Port& port = ports_.at(static_cast<std::size_t>(i));
    port.server = std::make_unique<HttpServer>(
        lab.loop, lab.address(Laboratory::store_port(i)),
        [this, i](http::Message request) { return serve(i, std::move(request)); });
    port.link = std::make_unique<LinkProxy>(lab.loop, lab.address(Laboratory::store_link_port(i)),
                                            lab.address(Laboratory::store_port(i)));
  }
}

void StoreServer::start() {
  for (Port& port : ports_) {
    lab_.loop.spawn(port.server->run());
    lab_.loop.spawn(port.link->run());
  }
}

void StoreServer::set_outage(bool on) { store_.set_outage(on, lab_.now()); }

io::Task<HttpReply> StoreServer::serve(int controller, http::Message request) {
  if (ports_.at(static_cast<std::size_t>(controller)).refused) co_return HttpReply{503, "{}"};
  const wire::HttpRequest call{request.method, request.target, request.body};
  const sim::Response response = store_.handle(call, lab_.now());
  co_return HttpReply{response.status, response.body};
}

}  // namespace bendtide::lab
