#include "core/common/settings.h"
#include "core/server/server_main.h"
#include "entry_application.h"

namespace {

using namespace buckthornspar;

class entry_program final : public server::server_program {
public:
    [[nodiscard]] std::string summary() const override {
        return "Serves callers over HTTP: forwards jobs to schedulers and requests to runners.";
    }

    void read_settings(common::settings_section& settings) override {
        m_requests = entry::read_request_settings(settings.section("requests"));
    }

    [[nodiscard]] std::unique_ptr<server::server_application>
    start(server::server_process& process) override {
        return std::make_unique<entry::entry_application>(process, m_requests);
    }

private:
    entry::request_settings m_requests;
};

} // namespace

int main(int argc, char** argv) {
    entry_program program;
    return server::server_main(argc, argv, program);
}
