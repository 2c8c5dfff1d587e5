package checker

import "github.com/pomeloferry/pomeloferry/approver"

// checkSigned judges a bundle with its approval.
func (d document) checkSigned(deployment *File) ([]Finding, error) {
	read := decode(d, lenient[approver.Signed])
	inner, ok := d.inner()
	if !ok {
		return append(read.findings, d.finding(Fault, bundleKey, "found none, allowed a bundle")), nil
	}
	found, err := inner.checkBundle(deployment)
	if err != nil {
		return nil, err
	}
	settings, err := loadDeployment(deployment)
	if err != nil {
		return nil, err
	}
	out := append(read.findings, found...)
	if settings == nil || hasFault(out) {
		return out, nil
	}
	if _, err := settings.Trust.Verify(read.value); err != nil {
		out = append(out, d.finding(Fault, "Signature", err.Error()))
	}
	return out, nil
}
