#include "config_application.h"
#include "core/common/settings.h"
#include "core/server/server_main.h"

namespace {

using namespace buckthornspar;

class config_program final : public server::server_program {
public:
    [[nodiscard]] std::string summary() const override {
        return "Accepts configuration patches from operators and distributes configuration "
               "versions.";
    }

    void read_settings(common::settings_section& settings) override {
        m_settings = config_server::read_settings(settings);
    }

    [[nodiscard]] std::unique_ptr<server::server_application>
    start(server::server_process& process) override {
        return std::make_unique<config_server::config_application>(process, m_settings);
    }

private:
    config_server::config_settings m_settings;
};

} // namespace

int main(int argc, char** argv) {
    config_program program;
    return server::server_main(argc, argv, program);
}
