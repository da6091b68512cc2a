//! Configuration documents of the operator.

/// A configuration that is being written.
#[derive(Clone, Debug)]
pub struct Document {
    version: u64,
    routes: Vec<String>,
    services: Vec<String>,
    tenants: Vec<String>,
}

impl Document {
    /// Host name of all routes.
    pub const HOST: &'static str = "depots.example";

    /// Starts a configuration.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            tenants: Vec::new(),
        }
    }

    /// Adds a route of this kind to a service.
    pub fn route(mut self, prefix: &str, kind: &str, service: &str) -> Self {
        self.routes.push(format!(
            r#"{{"name":"r-{}","hostname":"{}","path-prefix":"{prefix}","route-kind":"{kind}",
            "timeout-ms":6000,"target-latency-ms":400,"priority":1,"service-name":"{service}",
            "max-attempts":2,"auth-exempt":false,"sticky":false,"resumable":{},"gap-target-ms":300}}"#,
            self.routes.len(),
            Self::HOST,
            kind == "streaming",
        ));
        self
    }

    /// Adds a service.
    pub fn service(mut self, name: &str) -> Self {
        self.services.push(format!(
            r#"{{"name":"{name}","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}}"#
        ));
        self
    }

    /// Adds a service of replicas with engines.
    pub fn engines(mut self, name: &str, model: &str, pieces: u32, piece_bytes: usize) -> Self {
        self.services.push(format!(
            r#"{{"name":"{name}","health-path":"/health","max-conns":364,"protocol":"h1","tls":false,
            "engine":{{"slots":16,"kv-capacity-tokens":1640000,"stride":6,
            "models":[{{"name":"{model}","pace":1.0,"load-s":4.0,"warm-s":0.3}}],"size-mb":282000.0,
            "step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,
            "chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":964,"answer":119}},"layers":16,
            "layer_mb":4540.0,"chunks":{pieces},"chunk-bytes":{piece_bytes}}}}}"#
        ));
        self
    }

    /// Adds the origin of the weights.
    pub fn origin(mut self, name: &str, address: std::net::SocketAddr, link_mbps: f64) -> Self {
        self.services.push(format!(
            r#"{{"name":"{name}","origin":"{address}","zone":"zone-a","link-mbps":{link_mbps},"max-conns":48}}"#
        ));
        self
    }

    /// Adds a tenant with its keys.
    pub fn tenant(mut self, name: &str, keys: &[&str]) -> Self {
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        self.tenants.push(format!(
            r#"{{"name":"{name}","api-keys":[{}],"priority":1}}"#,
            keys.join(",")
        ));
        self
    }

    /// The configuration as it is sent. The list of tenants is always there.
    pub fn text(&self) -> String {
        format!(
            r#"{{"version":{},"route-list":[{}],"service-list":[{}],"limits":{{"max-header-bytes":16384,
            "max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenant-list":[{}]}}"#,
            self.version,
            self.routes.join(","),
            self.services.join(","),
            self.tenants.join(",")
        )
    }
}
